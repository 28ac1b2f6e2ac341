import * as http from 'node:http';
import type * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as connectionGates from './connection-gate.js';

/** Interval at which connections are checked for header timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Maximum size of the headers that the parser accepts, in bytes; the configured limit is below it. */
const MAX_HEADER_BYTES = 65_536;

/** Limits of a listener whose callers are probes and other programs of the operators. */
const DEFAULT_LIMITS: requests.ConnectionLimits = {
  connections: 32,
  requestsPerConnection: 16,
  stallMs: 10_000,
};

/** Options of `HttpListener`. */
export interface HttpListenerOptions {
  /** Names the listener in the log. */
  readonly name: string;
  readonly log: schemas.Log;
  /** What its callers may hold; the limits for probes by default. */
  readonly limits?: requests.ConnectionLimits | undefined;
  readonly gate?: connectionGates.ConnectionGate | undefined;
  /** Called when a connection is closed because of the limits. */
  readonly onClosed?: ((reason: requests.CloseReason) => void) | undefined;
}

/** Answers one request; must not throw. */
export type RequestHandler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** HTTP server that listens on an address from the settings. */
export class HttpListener {
  private readonly server: http.Server;
  private readonly gate: connectionGates.ConnectionGate | undefined;
  private readonly connections: requests.CallerConnections;
  /** Connections from which no request was read yet. */
  private readonly unread = new WeakSet<net.Socket>();

  public constructor(handle: RequestHandler, options: HttpListenerOptions) {
    const { limits = DEFAULT_LIMITS, log, name, onClosed } = options;
    this.gate = options.gate;
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
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
      },
    );
    // An accept that fails, such as for want of descriptors, concerns one connection; without a handler it would end the process.
    this.server.on('error', (err) => {
      log.warn({ event: 'listener-failed', step: 'listen', err: err.message });
    });
    this.connections = new requests.CallerConnections(this.server, {
      listener: name,
      limits,
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
      setTimeout(() => this.server.closeAllConnections(), graceMs).unref();
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
