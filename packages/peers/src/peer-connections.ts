import type * as net from 'node:net';

import type * as schemas from '@bramleyridge/schemas';

import * as callParts from './call-parts.js';
import * as frames from './frame.js';

/** Shortest interval between two log lines on closed connections, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** What peers may hold at a server. */
export interface PeerLimits {
  /** Number of connections; beyond it, the oldest one is closed that has not sent a frame. */
  readonly connections: number;
  /** Number of calls that are not answered, of one connection and of all; further ones fail as not run. */
  readonly callsPerConnection: number;
  readonly calls: number;
  /** Size of a frame, in bytes. */
  readonly frameBytes: number;
  /** Number of bytes of unfinished frames and calls; beyond it, the connection with the most is closed. */
  readonly heldBytes: number;
}

/** Limits of a server that has none in its options. */
export const DEFAULT_PEER_LIMITS: PeerLimits = {
  connections: 2_048,
  callsPerConnection: 2_048,
  calls: 8_192,
  frameBytes: frames.MAX_FRAME_BYTES,
  heldBytes: callParts.MAX_CALL_BYTES + 2 * frames.MAX_FRAME_BYTES,
};

/** Why a connection of a peer is closed; `busy` if only a call of it failed. */
export type PeerCloseReason = 'busy' | 'evicted' | 'full' | 'held-bytes';

/** Options of `PeerConnections`. */
export interface PeerConnectionsOptions {
  readonly limits: PeerLimits;
  readonly log: schemas.Log;
  readonly onClosed?: ((reason: PeerCloseReason) => void) | undefined;
}

/** What one peer holds. */
export interface PeerConnection {
  readonly key: string;
  readonly socket: net.Socket;
  /** Whether a complete frame has arrived. */
  hasFrame: boolean;
  heldBytes: number;
  calls: number;
  /** Drops its unfinished frames and calls; a closed connection would keep them until its socket reports its end. */
  drop: () => void;
}

/** Limits what the peers of a server hold. Connections are known by the remote address of their sockets. */
export class PeerConnections {
  private readonly connections = new Map<string, PeerConnection>();
  private heldBytes = 0;
  /** Number of calls whose handlers have not ended; those of closed connections count as well. */
  private calls = 0;
  private loggedAt = -Infinity;
  private readonly closedSinceLog = new Map<PeerCloseReason, number>();

  public constructor(private readonly options: PeerConnectionsOptions) {}

  /** Takes a new connection, before any handshake, or closes it if there is no room. */
  public open(socket: net.Socket): void {
    const { limits } = this.options;
    const isFull = this.connections.size >= limits.connections;
    if (isFull && !this.evict()) {
      this.record('full', socket);
      // A handshake that begins on a socket without a handle would throw.
      setImmediate(() => socket.destroy());
      return;
    }
    const key = getKey(socket);
    const connection = { key, socket, hasFrame: false, heldBytes: 0, calls: 0, drop: () => {} };
    this.connections.set(key, connection);
    socket.once('close', () => this.remove(connection));
  }

  /** Returns what a connection holds; `undefined` if it was not taken. */
  public find(socket: net.Socket): PeerConnection | undefined {
    return this.connections.get(getKey(socket));
  }

  /** Sets the bytes of the unfinished frames and calls of a connection. */
  public setHeldBytes(connection: PeerConnection, bytes: number): void {
    if (this.connections.get(connection.key) !== connection) {
      return;
    }
    this.heldBytes += bytes - connection.heldBytes;
    connection.heldBytes = bytes;
    while (this.heldBytes > this.options.limits.heldBytes) {
      const largest = this.findLargest();
      if (largest === undefined) {
        return;
      }
      this.close(largest, 'held-bytes');
    }
  }

  /** Begins a call; returns the function that ends it, or why it can't run. */
  public beginCall(connection: PeerConnection): (() => void) | 'busy' | 'closed' {
    const { limits } = this.options;
    if (!this.connections.has(connection.key)) {
      return 'closed';
    }
    if (connection.calls >= limits.callsPerConnection || this.calls >= limits.calls) {
      this.record('busy', connection.socket);
      return 'busy';
    }
    connection.calls += 1;
    this.calls += 1;
    return () => {
      connection.calls -= 1;
      this.calls -= 1;
    };
  }

  private evict(): boolean {
    for (const connection of this.connections.values()) {
      if (!connection.hasFrame) {
        this.close(connection, 'evicted');
        return true;
      }
    }
    return false;
  }

  private findLargest(): PeerConnection | undefined {
    let largest: PeerConnection | undefined;
    for (const connection of this.connections.values()) {
      if (connection.heldBytes > (largest?.heldBytes ?? 0)) {
        largest = connection;
      }
    }
    return largest;
  }

  private close(connection: PeerConnection, reason: PeerCloseReason): void {
    const { socket } = connection;
    this.record(reason, socket);
    this.remove(connection);
    socket.destroy();
    connection.drop();
  }

  private remove(connection: PeerConnection): void {
    // The port of a closed connection may be in use again before its end is reported.
    if (this.connections.get(connection.key) === connection) {
      this.connections.delete(connection.key);
    }
    this.heldBytes -= connection.heldBytes;
    connection.heldBytes = 0;
  }

  private record(reason: PeerCloseReason, socket: net.Socket): void {
    const { log, onClosed } = this.options;
    onClosed?.(reason);
    this.closedSinceLog.set(reason, (this.closedSinceLog.get(reason) ?? 0) + 1);
    const now = performance.now();
    if (now - this.loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    this.loggedAt = now;
    log.info({
      decision: 'close-peer',
      reason,
      peer: socket.remoteAddress,
      closed: Object.fromEntries(this.closedSinceLog),
      open: this.connections.size,
      heldBytes: this.heldBytes,
    });
    this.closedSinceLog.clear();
  }
}

function getKey({ remoteAddress, remotePort }: net.Socket): string {
  return `${remoteAddress}:${remotePort}`;
}
