/** Schemas, messages and errors that every other package shares. */
export * from './change-signal.js';
export * from './clock.js';
export * from './daemon-config.js';
export * from './declaration.js';
export * from './digest.js';
export * from './control.js';
export * from './lifecycle.js';
export * from './log.js';
export * from './members.js';
export * from './messages.js';
export * from './names.js';
export * from './outcome.js';
export * from './parse.js';
export * from './rendezvous.js';
export * from './status.js';
export * from './step-error.js';
export * from './upstream.js';
