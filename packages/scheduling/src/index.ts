export * from './concurrency-limit.js';
export * from './service-time.js';
export * from './stated-load.js';
