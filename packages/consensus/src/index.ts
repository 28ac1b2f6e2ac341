/** The replicated log of the voters. */
export * from './batch-frame.js';
export * from './election.js';
export * from './entry-log.js';
export * from './file-layer.js';
export * from './genesis.js';
export * from './leadership.js';
export * from './quorum.js';
export * from './seat-change.js';
export * from './types.js';
export * from './voter.js';
export * from './wal.js';
export * from './seat-plan.js';
