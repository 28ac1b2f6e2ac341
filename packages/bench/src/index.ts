/** Deployments on loopback and checks of responses, shared by the benchmarks and the quickstart. */
export * from './check-answer.js';
export * from './child.js';
export * from './deployment.js';
