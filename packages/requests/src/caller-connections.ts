import type * as http from 'node:http';
import type * as net from 'node:net';

import type * as schemas from '@bramleyridge/schemas';

import * as breakOffs from './break-off.js';
import * as headMemories from './head-memory.js';
import * as unreadableRequests from './unreadable-request.js';

/** Shortest interval between two log lines on closed connections, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Share of the connections that may have requests ahead of their answers, all together. */
const AHEAD_SHARE = 0.5;

/** Headers that a request may have. Without a limit, Node.js leaves out those after the thousandth and passes the request on. */
const MAX_HEADERS = 256;

/** Interval at which heads that are not ended are counted, in milliseconds. */
const UNENDED_HEADS_INTERVAL_MS = 500;

/** Parts that a body nobody reads may have while its request waits for the answer to an earlier one. */
const MAX_WAITING_PARTS = 1_024;

/** Average size from which such a body may have more parts, in bytes; smaller ones cost much processor time by the byte. */
const MIN_PART_BYTES = 64;

/** What the callers of one listener may hold. */
export interface ConnectionLimits {
  /** Number of connections; beyond it, the one that has waited longest for its caller is closed. */
  readonly connections: number;
  /** Number of requests of one connection that are not answered; it is closed at the next. */
  readonly requestsPerConnection: number;
  /**
   * Memory of the heads of all requests that are not answered, in bytes. Beyond it, heads that take more than the equal
   * share of a connection are given up, that of the connection that has waited longest for its caller first.
   */
  readonly headBytes: number;
  /** Time for which a caller may neither finish a request nor take its answer, in milliseconds. */
  readonly stallMs: number;
}

/** Why a connection of a caller is closed. */
export type CloseReason =
  'evicted' | 'full' | 'head-bytes' | 'requests-ahead' | 'small-parts' | 'stalled';

/** Options of `CallerConnections`. */
export interface CallerConnectionsOptions {
  /** Names the listener in the log. */
  readonly listener: string;
  readonly limits: ConnectionLimits;
  /**
   * Returns how many connections there is room for now, if that may be fewer than the limit. What connections share is
   * divided by the limit: those that are open keep their shares.
   */
  readonly findRoom?: (() => number) | undefined;
  readonly log: schemas.Log;
  readonly onClosed?: ((reason: CloseReason) => void) | undefined;
}

interface OpenRequest {
  readonly req: http.IncomingMessage;
  /** Memory of its head, in bytes. */
  readonly headBytes: number;
}

interface CallerConnection {
  readonly socket: net.Socket;
  /** Requests that are not answered, by their responses, in the order of arrival. */
  readonly requests: Map<http.ServerResponse, OpenRequest>;
  /** Answered request whose body has not ended; until then, Node.js keeps its head. */
  unended: OpenRequest | undefined;
  /** Memory of the heads of all these requests, in bytes. */
  headBytes: number;
}

/**
 * Limits what the callers of a server hold: connections, requests that they send without waiting for answers, and the time
 * for which they neither send nor read. Node.js starts a handler for each request of a connection as soon as it is read.
 */
export class CallerConnections {
  /** In the order of the last request or answer; the first has waited longest. */
  private readonly connections = new Map<net.Socket, CallerConnection>();
  /** Number of sockets that are not closed yet; those of closed connections keep their descriptors for a while. */
  private sockets = 0;
  /** Number of requests that have another one of their connection before them. */
  private ahead = 0;
  private readonly heads = new headMemories.HeadMemory();
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
    // One more shows that there were too many. The heads of all connections may be read in one round of the event loop, and
    // only after it is the memory of those that were given up free.
    server.maxHeadersCount = MAX_HEADERS + 1;
    const timer = setInterval(() => this.limitUnendedHeads(), UNENDED_HEADS_INTERVAL_MS).unref();
    server.once('close', () => clearInterval(timer));
    // Node.js answers some requests by itself, of which nothing here would know: those without a host, and those that
    // expect anything but 100-continue. The server reads this option for each request; its type lacks it.
    Object.assign(server, { requireHostHeader: false });
    server.on('clientError', (err, socket) => {
      const [current] = this.connections.get(socket as net.Socket)?.requests.keys() ?? [];
      unreadableRequests.closeUnreadable(err, socket, current);
    });
    server.on('checkExpectation', (req, res) => {
      if (this.admit(req, res)) {
        this.answerUnhandled(req, res, 417);
      }
    });
  }

  /** Returns the number of open connections. */
  public count(): number {
    return this.connections.size;
  }

  /** Returns the number of descriptors in use. */
  public countDescriptors(): number {
    return this.sockets;
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
    this.sockets += 1;
    socket.once('close', () => {
      this.sockets -= 1;
    });
    // Node.js takes its own away where it parses no more; an error without a listener would end the process.
    socket.on('error', () => {});
    const room = this.options.findRoom?.() ?? Infinity;
    const isFull = this.connections.size >= Math.min(this.limits.connections, room);
    if (isFull && !this.evict('evicted')) {
      this.record('full');
      socket.resetAndDestroy();
      return;
    }
    const connection = { socket, requests: new Map(), unended: undefined, headBytes: 0 };
    this.connections.set(socket, connection);
    socket.once('close', () => this.handleClose(connection));
  }

  /** Returns whether to handle a request; otherwise it has been answered, or its connection closed. */
  public admit(req: http.IncomingMessage, res: http.ServerResponse): boolean {
    const { socket } = req;
    const connection = this.connections.get(socket);
    if (connection === undefined || socket.destroyed) {
      return false;
    }
    // A request follows the end of the body before it.
    this.handleEnded(connection);
    const { requests } = connection;
    if (requests.size > 0 && this.hasTooManyAhead(connection)) {
      this.close(connection, 'requests-ahead');
      return false;
    }
    const headBytes = headMemories.estimateHeadBytes(req);
    if (!this.makeRoom(connection, headBytes)) {
      headMemories.releaseHead(req);
      this.close(connection, 'head-bytes');
      return false;
    }
    if (requests.size > 0) {
      this.ahead += 1;
    }
    requests.set(res, { req, headBytes });
    this.addHeadBytes(connection, headBytes);
    this.markUsed(connection);
    res.once('close', () => this.handleAnswered(connection, res));
    const status = findRefusalStatus(req);
    if (status !== undefined) {
      res.setHeader('connection', 'close');
      this.answerUnhandled(req, res, status);
      return false;
    }
    return true;
  }

  private answerUnhandled(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    status: number,
  ): void {
    // Without these handlers, a connection that fails while it is read or written would end the process.
    req.on('error', () => {});
    res.on('error', () => {});
    res.writeHead(status).end();
    this.discardUnread(req, res);
  }

  /**
   * Discards the body of an admitted request that its handler has not begun to read. Otherwise its parts would be kept
   * until the request is answered, and a part of one byte takes some hundred bytes of memory.
   */
  public discardUnread(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (req.readableFlowing !== null) {
      return;
    }
    req.resume();
    if (res.socket === null) {
      this.limitParts(req, res);
    }
  }

  private limitParts(req: http.IncomingMessage, res: http.ServerResponse): void {
    let parts = 0;
    let bytes = 0;
    req.on('data', (part: Buffer) => {
      parts += 1;
      bytes += part.length;
      if (parts <= MAX_WAITING_PARTS || bytes >= parts * MIN_PART_BYTES) {
        return;
      }
      const connection = this.connections.get(req.socket);
      if (connection !== undefined && isBehindAnother(connection, res)) {
        this.close(connection, 'small-parts');
      }
    });
  }

  private hasTooManyAhead({ requests }: CallerConnection): boolean {
    const maxAhead = this.limits.connections * AHEAD_SHARE;
    return requests.size >= this.limits.requestsPerConnection || this.ahead >= maxAhead;
  }

  /** Makes room for a head; returns whether there is some, as there always is for the share of a connection. */
  private makeRoom(connection: CallerConnection, headBytes: number): boolean {
    const limit = this.limits.headBytes;
    const share = limit / this.limits.connections;
    const isBeyondShare = (item: CallerConnection) => item !== connection && item.headBytes > share;
    const isWithinShare = connection.headBytes + headBytes <= share;
    while (this.heads.getBytes() + headBytes > limit) {
      if (!this.evict('head-bytes', isBeyondShare)) {
        return isWithinShare;
      }
    }
    return isWithinShare || this.heads.hasRoundRoom(headBytes, limit);
  }

  /**
   * Closes connections whose heads take more than their share without being ended, those that have waited longest first,
   * until all heads are within their limit.
   */
  private limitUnendedHeads(): void {
    const share = this.limits.headBytes / this.limits.connections;
    const unended = [...this.connections.values()].map((connection) => ({
      connection,
      bytes: headMemories.estimateUnendedHeadBytes(connection.socket),
    }));
    let bytes = unended.reduce((sum, item) => sum + item.bytes, this.heads.getBytes());
    const candidates = unended.filter((item) => item.bytes > share);
    for (const item of candidates) {
      if (bytes <= this.limits.headBytes) {
        return;
      }
      if (isWaitingForCaller(item.connection)) {
        bytes -= item.bytes + item.connection.headBytes;
        this.close(item.connection, 'head-bytes');
      }
    }
  }

  private addHeadBytes(connection: CallerConnection, headBytes: number): void {
    connection.headBytes += headBytes;
    this.heads.add(headBytes);
  }

  private handleAnswered(connection: CallerConnection, res: http.ServerResponse): void {
    const { requests, socket } = connection;
    const request = requests.get(res);
    if (request === undefined) {
      return;
    }
    requests.delete(res);
    if (request.req.complete) {
      this.addHeadBytes(connection, -request.headBytes);
    } else {
      connection.unended = request;
      request.req.once('end', () => this.handleEnded(connection, request));
    }
    if (requests.size > 0) {
      this.ahead -= 1;
    }
    if (this.connections.has(socket)) {
      this.markUsed(connection);
    }
  }

  private handleEnded(connection: CallerConnection, request = connection.unended): void {
    if (request !== undefined && connection.unended === request) {
      connection.unended = undefined;
      this.addHeadBytes(connection, -request.headBytes);
    }
  }

  private handleClose(connection: CallerConnection): void {
    if (!this.connections.delete(connection.socket)) {
      return;
    }
    const open = [...connection.requests.keys()];
    const unread = [...connection.requests.values()].filter(({ req }) => !req.complete);
    // Nor does it tell those who read a body then. Later, since a handler may have closed its own connection.
    setImmediate(() => unread.forEach(({ req }) => req.destroy(new Error('aborted'))));
    this.ahead -= Math.max(0, open.length - 1);
    connection.requests.clear();
    connection.unended = undefined;
    this.addHeadBytes(connection, -connection.headBytes);
    // Node.js closes only the response whose turn it is. Handlers of the others would wait for the end of theirs forever.
    open
      .filter((res) => res.socket === null)
      .forEach((res) => {
        res.destroy();
        res.emit('close');
      });
  }

  /** Closes the connection that has waited longest for its caller, of some; returns whether there was one. */
  private evict(reason: CloseReason, isCandidate = isWaitingForCaller): boolean {
    for (const connection of this.connections.values()) {
      if (isCandidate(connection) && isWaitingForCaller(connection)) {
        this.close(connection, reason);
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

  /** Breaks off the answers that would look whole if their connections were closed in order. */
  public breakOffUnmarked(): void {
    [...this.connections.values()]
      .flatMap(({ requests }) => [...requests.keys()])
      .filter(breakOffs.isUnmarked)
      .forEach(breakOffs.breakOff);
  }

  private close(connection: CallerConnection, reason: CloseReason): void {
    const [current] = connection.requests.keys();
    if (current !== undefined && breakOffs.isUnmarked(current)) {
      breakOffs.breakOff(current);
    }
    connection.socket.destroy();
    this.heads.close(connection.headBytes, connection.socket);
    connection.headBytes = 0;
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

/** Returns the status of the refusal of a request whose head is not usable. */
function findRefusalStatus(req: http.IncomingMessage): number | undefined {
  if (req.rawHeaders.length > 2 * MAX_HEADERS) {
    return 431;
  }
  return req.httpVersion === '1.1' && req.headers.host === undefined ? 400 : undefined;
}

/** Returns whether a connection is idle, or its caller has not sent the rest of a body. */
function isWaitingForCaller({ requests }: CallerConnection): boolean {
  return [...requests.values()].every(({ req }) => !req.complete);
}

/** Returns whether a response waits for the answers to earlier requests of its connection. */
function isBehindAnother({ requests }: CallerConnection, res: http.ServerResponse): boolean {
  const [first] = requests.keys();
  return requests.has(res) && first !== res;
}
