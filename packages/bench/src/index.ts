/** The bench: the quickstart, traces, replay, load and reports. */
export * from './check-answer.js';
export * from './child.js';
export * from './deployment.js';
