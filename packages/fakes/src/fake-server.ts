import * as http from 'node:http';
import type * as net from 'node:net';

import * as polka from 'polka';

/** A request whose body has been read. */
export type FakeRequest = http.IncomingMessage & {
  params: Record<string, string>;
  query: Record<string, string>;
  rawBody: Buffer;
};

/** Handlers by method and path pattern, such as `GET /load`. */
export type Routes = Readonly<
  Record<string, (req: FakeRequest, res: http.ServerResponse) => void | Promise<void>>
>;

/** An HTTP server on loopback that can be closed as abruptly as a killed process. */
export class FakeServer {
  private readonly server = http.createServer();
  private readonly sockets = new Set<net.Socket>();

  public constructor(routes: Routes, prepare: (res: http.ServerResponse) => void = () => {}) {
    const app = polka.default({ server: this.server });
    Object.entries(routes).forEach(([route, handle]) => {
      const [method, pattern] = route.split(' ') as [string, string];
      app.add(method as never, pattern, (req, res) => {
        void readBody(req)
          .then((rawBody) => {
            prepare(res);
            return handle(Object.assign(req, { rawBody }) as never, res);
          })
          .catch((err: Error) => sendJson(res, 400, { error: { message: err.message } }));
      });
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => {});
    });
    this.server.on('request', app.handler.bind(app) as never);
  }

  /** Starts to listen, on a port chosen by the operating system for 0, and returns the address. */
  public async listen(port: number): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Closes the server and every connection at once. */
  public kill(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

/** Sends a JSON response. */
export function sendJson(res: http.ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Parses the JSON body of a request; an empty body is `{}`. */
export function parseBody(req: FakeRequest): unknown {
  return JSON.parse(req.rawBody.toString('utf8') || '{}');
}

async function readBody(req: http.IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of req) {
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts);
}
