import * as http from 'node:http';
import type * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as connectionGates from './connection-gate.js';

/** Interval at which connections are checked for header timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Size of the headers that the parser accepts, in bytes: until a limit is configured, and the maximum. */
const DEFAULT_HEADER_BYTES = 16_384;
const MAX_HEADER_BYTES = 65_536;

/** Size of the request line, which the parser counts with the headers, in bytes. */
const REQUEST_LINE_BYTES = 8_192;

/** Limits of a listener whose callers are probes and other programs of the operators. */
const DEFAULT_LIMITS: requests.ConnectionLimits = {
  connections: 32,
  requestsPerConnection: 16,
  headBytes: 1_024 * 1_024,
  stallMs: 10_000,
};

/** Options of `HttpListener`. */
export interface HttpListenerOptions {
  /** Names the listener in the log. */
  readonly name: string;
  readonly log: schemas.Log;
  /** What its callers may hold; the limits for probes by default. */
  readonly limits?: requests.ConnectionLimits | undefined;
  /** Returns how many connections there is room for now; as many as the limits allow by default. */
  readonly findRoom?: (() => number) | undefined;
  readonly gate?: connectionGates.ConnectionGate | undefined;
  /** Called when a connection is closed because of the limits. */
  readonly onClosed?: ((reason: requests.CloseReason) => void) | undefined;
}

/** Answers one request; must not throw. A body that it doesn't begin to read at once is discarded. */
export type RequestHandler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** HTTP server that listens on an address from the settings. */
export class HttpListener {
  private readonly server: http.Server;
  private readonly gate: connectionGates.ConnectionGate | undefined;
  private readonly connections: requests.CallerConnections;
  /** Connections from which no request was read yet. */
  private readonly unread = new WeakSet<net.Socket>();

  public constructor(handle: RequestHandler, options: HttpListenerOptions) {
    const { findRoom, limits = DEFAULT_LIMITS, log, name, onClosed } = options;
    this.gate = options.gate;
    this.server = http.createServer(
      {
        IncomingMessage: requests.CallerRequest,
        maxHeaderSize: DEFAULT_HEADER_BYTES + REQUEST_LINE_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      },
      (req, res) => {
        // Without these handlers, a connection that fails while it is read or written would end the process.
        req.on('error', () => {});
        res.on('error', () => {});
        if (!this.connections.admit(req, res)) {
          return;
        }
        if (this.unread.delete(req.socket)) {
          this.gate?.recordFirstRequest();
        }
        handle(req, res);
        this.connections.discardUnread(req, res);
      },
    );
    // An accept that fails, such as for want of descriptors, concerns one connection; without a handler it would end the process.
    this.server.on('error', (err) => {
      log.warn({ event: 'listener-failed', step: 'listen', err: err.message });
    });
    this.connections = new requests.CallerConnections(this.server, {
      listener: name,
      limits,
      findRoom,
      log,
      onClosed,
    });
    this.server.prependListener('connection', (socket: net.Socket) => this.admit(socket));
  }

  /** Starts listening and returns the port. */
  public async listen(address: string): Promise<number> {
    this.gate?.start();
    const { host, port } = schemas.splitAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Changes what callers may hold. */
  public setLimits(limits: requests.ConnectionLimits): void {
    this.connections.setLimits(limits);
  }

  /** Returns the number of open connections. */
  public countConnections(): number {
    return this.connections.count();
  }

  /** Returns the number of descriptors that connections use. */
  public countDescriptors(): number {
    return this.connections.countDescriptors();
  }

  /**
   * Sets the size of the headers that a connection may send, in bytes; what the parser holds of unfinished ones is bounded
   * by it. Connections that are open keep theirs.
   */
  public setHeaderBytes(headerBytes: number): void {
    const maxHeaderSize = Math.min(MAX_HEADER_BYTES, headerBytes + REQUEST_LINE_BYTES);
    // The server reads this option for each connection; its type lacks it.
    Object.assign(this.server, { maxHeaderSize });
  }

  /** Sets the timeouts for receiving a request's headers and for idle connections. */
  public setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Stops listening and closes idle connections; the others are closed after `graceMs`. */
  public async close(graceMs: number): Promise<void> {
    this.gate?.stop();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
      setTimeout(() => {
        this.connections.breakOffUnmarked();
        this.server.closeAllConnections();
      }, graceMs).unref();
    });
  }

  /** Closes everything at once, like a killed process; for failure tests. */
  public kill(): void {
    this.gate?.stop();
    this.server.closeAllConnections();
    this.server.close();
  }

  private admit(socket: net.Socket): void {
    if (this.gate?.admit() === false) {
      socket.resetAndDestroy();
      return;
    }
    this.unread.add(socket);
    this.connections.open(socket);
  }
}
