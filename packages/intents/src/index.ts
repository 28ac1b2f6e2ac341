/** Rules of intents, plans and confirmations, without I/O. */
export * from './check-declaration.js';
export * from './control-state.js';
export * from './diff-declarations.js';
export * from './plan-lifecycle.js';
export * from './sized-history.js';
export * from './check-routed-config.js';
export * from './declared-state.js';
export * from './evacuation-state.js';
