/** How a host reaches upstreams: its own connections, and those through other hosts. */
export * from './bounded-client.js';
export * from './create-connector.js';
export * from './connect-failure.js';
export * from './create-own-links.js';
export * from './metered-dialer.js';
export * from './open-tunnels.js';
export * from './path-connector.js';
export * from './path-error.js';
export * from './path-state.js';
export * from './relay-candidate.js';
export * from './relay-pool.js';
export * from './reset-monitor.js';
export * from './silence-watch.js';
export * from './tunnel-service.js';
export * from './upstream-dialer.js';
export * from './upstream-links.js';
export * from './upstream-probe.js';
