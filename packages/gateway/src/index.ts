/** Routed traffic: the entry host and the core host, and the interfaces to be implemented for a platform. */
export * from './connection-gate.js';
export * from './core-host.js';
export * from './document-intake.js';
export * from './entry-host.js';
export * from './evacuation-service.js';
export * from './http-listener.js';
export * from './host-settings.js';
export * from './operator-service.js';
export * from './ports.js';
export * from './settings-watcher.js';
