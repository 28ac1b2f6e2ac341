/** Routed traffic: the entry host and the core host, with the ports to whoever speaks. */
export * from './core-host.js';
export * from './entry-host.js';
export * from './evacuation-orders.js';
export * from './face-server.js';
export * from './host-settings.js';
export * from './operator-desk.js';
export * from './ports.js';
export * from './settings-watch.js';
