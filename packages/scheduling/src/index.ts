/** Shares of scarce capacity, concurrency limits and expected service times. */
export * from './call-return-times.js';
export * from './call-scheduler.js';
export * from './call-spec.js';
export * from './concurrency-limit.js';
export * from './decaying-count.js';
export * from './fair-share-queue.js';
export * from './priority-order.js';
export * from './return-schedule.js';
export * from './retry-times.js';
export * from './service-round.js';
export * from './service-time.js';
export * from './share-lane.js';
export * from './share-request.js';
export * from './stated-load.js';
export * from './team-accounts.js';
export * from './wait-forecast.js';
