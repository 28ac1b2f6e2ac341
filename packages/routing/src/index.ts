/** Room, queue, choice of upstream and fairness: the decision logic. */
export * from './engine-ledger.js';
export * from './fair-queue.js';
export * from './length-distribution.js';
export * from './length-model.js';
export * from './live-generation.js';
export * from './load-choice.js';
export * from './memory-forecast.js';
export * from './pool-account.js';
export * from './pool-owner.js';
export * from './prefix-affinity.js';
export * from './route-table.js';
export * from './slow-upstreams.js';
export * from './two-choices.js';
export * from './types.js';
export * from './upstream-choice.js';
export * from './upstream-load.js';
export * from './upstream-room.js';
