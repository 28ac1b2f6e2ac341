import type * as http from 'node:http';
import type * as net from 'node:net';

import type * as schemas from '@bramleyridge/schemas';

/** Shortest interval between two log lines on closed connections, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Share of the connections that may have requests ahead of their answers, all together. */
const AHEAD_SHARE = 0.5;

/** What the callers of one listener may hold. */
export interface ConnectionLimits {
  /** Number of connections; beyond it, the one that has waited longest for its caller is closed. */
  readonly connections: number;
  /** Number of requests of one connection that are not answered; it is closed at the next. */
  readonly requestsPerConnection: number;
  /** Time for which a caller may neither finish a request nor take its answer, in milliseconds. */
  readonly stallMs: number;
}

/** Why a connection of a caller is closed. */
export type CloseReason = 'evicted' | 'full' | 'requests-ahead' | 'stalled';

/** Options of `CallerConnections`. */
export interface CallerConnectionsOptions {
  /** Names the listener in the log. */
  readonly listener: string;
  readonly limits: ConnectionLimits;
  readonly log: schemas.Log;
  readonly onClosed?: ((reason: CloseReason) => void) | undefined;
}

interface CallerConnection {
  readonly socket: net.Socket;
  /** Requests that are not answered, by their responses, in the order of arrival. */
  readonly requests: Map<http.ServerResponse, http.IncomingMessage>;
}

/**
 * Limits what the callers of a server hold: connections, requests that they send without waiting for answers, and the time
 * for which they neither send nor read. Node.js starts a handler for each request of a connection as soon as it is read.
 */
export class CallerConnections {
  /** In the order of the last request or answer; the first has waited longest. */
  private readonly connections = new Map<net.Socket, CallerConnection>();
  /** Number of requests that have another one of their connection before them. */
  private ahead = 0;
  private limits: ConnectionLimits;
  private readonly closedSinceLog = new Map<CloseReason, number>();
  private loggedAt = -Infinity;

  public constructor(
    private readonly server: http.Server,
    private readonly options: CallerConnectionsOptions,
  ) {
    this.limits = options.limits;
    server.timeout = this.limits.stallMs;
    server.on('timeout', (socket) => this.handleSilence(socket));
  }

  /** Returns the number of open connections. */
  public count(): number {
    return this.connections.size;
  }

  /** Changes the limits; open connections stay. */
  public setLimits(limits: ConnectionLimits): void {
    const isNewTime = limits.stallMs !== this.limits.stallMs;
    this.limits = limits;
    this.server.timeout = limits.stallMs;
    if (isNewTime) {
      this.connections.forEach(({ requests, socket }) => {
        if (requests.size > 0) {
          socket.setTimeout(limits.stallMs);
        }
      });
    }
  }

  /** Takes a new connection, or closes it if all others are at work. */
  public open(socket: net.Socket): void {
    if (this.connections.size >= this.limits.connections && !this.evict()) {
      this.record('full');
      socket.resetAndDestroy();
      return;
    }
    const connection = { socket, requests: new Map() };
    this.connections.set(socket, connection);
    socket.once('close', () => this.handleClose(connection));
  }

  /** Returns whether to handle a request; otherwise its connection has been closed. */
  public admit(req: http.IncomingMessage, res: http.ServerResponse): boolean {
    const { socket } = req;
    const connection = this.connections.get(socket);
    if (connection === undefined || socket.destroyed) {
      return false;
    }
    const { requests } = connection;
    if (requests.size > 0) {
      const maxAhead = this.limits.connections * AHEAD_SHARE;
      if (requests.size >= this.limits.requestsPerConnection || this.ahead >= maxAhead) {
        this.close(connection, 'requests-ahead');
        return false;
      }
      this.ahead += 1;
    }
    requests.set(res, req);
    this.markUsed(connection);
    res.once('close', () => this.handleAnswered(connection, res));
    return true;
  }

  private handleAnswered(connection: CallerConnection, res: http.ServerResponse): void {
    const { requests, socket } = connection;
    if (!requests.delete(res)) {
      return;
    }
    if (requests.size > 0) {
      this.ahead -= 1;
    }
    if (this.connections.has(socket)) {
      this.markUsed(connection);
    }
  }

  private handleClose(connection: CallerConnection): void {
    if (!this.connections.delete(connection.socket)) {
      return;
    }
    const open = [...connection.requests.keys()];
    this.ahead -= Math.max(0, open.length - 1);
    connection.requests.clear();
    // Node.js closes only the response whose turn it is. Handlers of the others would wait for the end of theirs forever.
    open
      .filter((res) => res.socket === null)
      .forEach((res) => {
        res.destroy();
        res.emit('close');
      });
  }

  /** Closes the connection that has waited longest for its caller; returns whether there was one. */
  private evict(): boolean {
    for (const connection of this.connections.values()) {
      if (isWaitingForCaller(connection)) {
        this.close(connection, 'evicted');
        return true;
      }
    }
    return false;
  }

  private handleSilence(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.requests.size === 0) {
      socket.destroy();
    } else if (socket.writableLength > 0 || isWaitingForCaller(connection)) {
      this.close(connection, 'stalled');
    } else {
      socket.setTimeout(this.limits.stallMs);
    }
  }

  private close(connection: CallerConnection, reason: CloseReason): void {
    connection.socket.destroy();
    // At once: handlers that have just begun would otherwise connect to upstreams before the socket reports its end.
    this.handleClose(connection);
    this.record(reason);
  }

  private markUsed(connection: CallerConnection): void {
    this.connections.delete(connection.socket);
    this.connections.set(connection.socket, connection);
  }

  private record(reason: CloseReason): void {
    const { listener, log, onClosed } = this.options;
    onClosed?.(reason);
    this.closedSinceLog.set(reason, (this.closedSinceLog.get(reason) ?? 0) + 1);
    const now = performance.now();
    if (now - this.loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    this.loggedAt = now;
    const closed = Object.fromEntries(this.closedSinceLog);
    this.closedSinceLog.clear();
    const open = this.connections.size;
    log.info({ decision: 'close-connection', listener, reason, closed, open });
  }
}

/** Returns whether a connection is idle, or its caller has not sent the rest of a body. */
function isWaitingForCaller({ requests }: CallerConnection): boolean {
  return [...requests.values()].every((req) => !req.complete);
}
