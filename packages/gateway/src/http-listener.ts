import * as http from 'node:http';
import type * as net from 'node:net';

import * as hostSettings from './host-settings.js';

/** How often connections are checked for callers that are too slow, in milliseconds. */
const CHECK_MS = 500;

/** The largest head that is read at all, in bytes; the configuration's own limit is below it. */
const MAX_HEADER_BYTES = 65_536;

/** Answers one request; it never rejects. */
export type RequestHandler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** An HTTP server on an address of the settings. */
export class HttpListener {
  private readonly server: http.Server;

  public constructor(handle: RequestHandler) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: CHECK_MS,
      },
      (req, res) => {
        // Without these a client that vanishes in the wrong moment would end the process.
        req.on('error', () => {});
        res.on('error', () => {});
        handle(req, res);
      },
    );
  }

  /** Listens and gives the port. */
  public async listen(address: string): Promise<number> {
    const { host, port } = hostSettings.splitAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Sets how long clients may take over a head, and how long a connection may stay idle. */
  public setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Stops listening; connections end when they are idle, and the others after `graceMs`. */
  public async close(graceMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
      setTimeout(() => this.server.closeAllConnections(), graceMs).unref();
    });
  }

  /** Ends at once, as a killed process does; for failure tests. */
  public kill(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
