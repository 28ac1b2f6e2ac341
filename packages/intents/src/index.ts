/** Intents, plans and confirmations: their rules, without input or output. */
export * from './check.js';
export * from './control-state.js';
export * from './diff.js';
export * from './plan-life.js';
export * from './check-routed-config.js';
export * from './declared-state.js';
export * from './evacuation-state.js';
