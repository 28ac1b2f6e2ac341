/** Membership: heartbeats, live and leaving hosts, pool ownership, and the configuration in force. */
export * from './configuration-store.js';
export * from './member-lifecycle.js';
export * from './member-table.js';
export * from './pool-ownership.js';
export * from './sync-client.js';
export * from './sync-server.js';
export * from './zone-status.js';
export * from './zone-view.js';
