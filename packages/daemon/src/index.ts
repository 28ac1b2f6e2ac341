/** The daemon as a library, for tests and benchmarks; the program is `bramleyridged`. */
export * from './choose-claim-acceptors.js';
export * from './completion-body.js';
export * from './daemon.js';
export * from './peer-mesh.js';
export * from './peer-router.js';
