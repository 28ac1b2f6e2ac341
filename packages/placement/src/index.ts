/** Desired and observed state of upstreams, orders with fencing tokens, the weight store's budget. */
export * from './desired-state.js';
export * from './order-sender.js';
export * from './model-load-limiter.js';
