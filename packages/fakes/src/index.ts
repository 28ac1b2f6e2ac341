/** Test doubles of the external systems, for tests, the bench and the quickstart. */
export * from './cut-dialer.js';
export * from './endless-upstream.js';
export * from './engine-model.js';
export * from './fake-engine.js';
export * from './fake-generation.js';
export * from './fake-platform.js';
export * from './fake-server.js';
export * from './fake-service.js';
export * from './reserved-ports.js';
export * from './reset-connection.js';
export * from './memory-files.js';
export * from './short-answer-play.js';
export * from './short-answer-upstream.js';
export * from './simulated-upstream.js';
export * from './slow-link.js';
export * from './strict-caller.js';
export * from './token-text.js';
