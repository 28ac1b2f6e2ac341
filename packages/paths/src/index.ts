/** How a host reaches upstreams. */
export * from './create-connector.js';
export * from './metered-dialer.js';
export * from './upstream-dialer.js';
