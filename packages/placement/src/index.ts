/**
 * Reconciliation of the desired and the observed models on upstreams: steps, orders with fencing tokens, load rate
 * limit.
 */
export * from './desired-state.js';
export * from './order-sender.js';
export * from './model-load-limiter.js';
