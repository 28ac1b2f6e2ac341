/** The life of a request: claims, relay, resume, shutdown. */
export * from './call-registry.js';
export * from './claim-proposer.js';
export * from './claim-seat.js';
export * from './claim-types.js';
export * from './drain.js';
export * from './engine-client.js';
export * from './event-splitter.js';
export * from './generation-id.js';
export * from './relay.js';
export * from './request-life.js';
export * from './retry-budget.js';
export * from './service-client.js';
export * from './upstream-error.js';
