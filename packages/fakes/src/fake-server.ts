import * as http from 'node:http';
import type * as net from 'node:net';

import * as polka from 'polka';

/** A request whose body has been read. */
export type FakeRequest = http.IncomingMessage & {
  params: Record<string, string>;
  query: Record<string, string>;
  rawBody: Buffer;
};

/** Handlers by method and pattern. */
export type Routes = Readonly<
  Record<string, (req: FakeRequest, res: http.ServerResponse) => void | Promise<void>>
>;

/** A server on a port of the operating system's choice, which can die like a process. */
export class FakeServer {
  private readonly server = http.createServer();
  private readonly sockets = new Set<net.Socket>();

  public constructor(routes: Routes) {
    const app = polka.default({ server: this.server });
    Object.entries(routes).forEach(([route, handle]) => {
      const [method, pattern] = route.split(' ') as [string, string];
      app.add(method as never, pattern, (req, res) => {
        void readBody(req)
          .then((rawBody) => handle(Object.assign(req, { rawBody }) as never, res))
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

  /** Starts to listen and gives the address. */
  public async listen(port: number): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Ends at once with every connection. */
  public kill(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

/** Sends a JSON answer. */
export function sendJson(res: http.ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** The JSON of a request's body. */
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
