/** Peer-to-peer transport between daemons: tRPC over framed msgpack on TLS with pre-shared keys. */
export * from './connect-to-peer.js';
export * from './call-parts.js';
export * from './frame.js';
export * from './keyring.js';
export * from './link-counts.js';
export * from './packed-value.js';
export * from './peer-client.js';
export * from './peer-connections.js';
export * from './peer-link.js';
export * from './peer-mesh.js';
export * from './peer-server.js';
export * from './relay-tunnel.js';
export * from './request-end.js';
export * from './tunnel-client.js';
export * from './tunnel-messages.js';
export * from './tunnel-socket.js';
