/** The replicated log: Raft elections, replication, membership changes and durable state. */
export * from './batch-frame.js';
export * from './run-elections.js';
export * from './entry-limits.js';
export * from './entry-log.js';
export * from './file-storage.js';
export * from './founding.js';
export * from './genesis.js';
export * from './leadership.js';
export * from './quorum.js';
export * from './membership-change.js';
export * from './types.js';
export * from './voter.js';
export * from './wal.js';
export * from './plan-voter-slots.js';
