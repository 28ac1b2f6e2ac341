import * as net from 'node:net';

import * as resetConnections from './reset-connection.js';

/**
 * What a host's connections to upstreams do while it is cut off. `hang`: open ones are silent, new ones get no answer;
 * `silent`: new ones are accepted and then silent as well; `reset`: open ones are reset, new ones refused; `refused`: open
 * ones live on, new ones are refused.
 */
export type CutKind = 'hang' | 'silent' | 'reset' | 'refused';

/**
 * Number of listeners of the local relay. Node.js accepts one connection of a listener in each round of its event loop, and
 * where rounds are long, dials would wait for each other.
 */
const LISTENERS = 16;

interface RelayServer {
  readonly server: net.Server;
  /** Accepted connections that are not joined yet, by their remote ports. */
  readonly accepted: Map<number, net.Socket>;
}

interface Pair {
  readonly near: net.Socket;
  /** The connection to the upstream; `undefined` for one that was accepted during a cut. */
  readonly far: net.Socket | undefined;
}

/** Dials upstreams for one host, and cuts the host off from all of them while others reach them. */
export class CutDialer {
  /** Number of connections that were opened to upstreams. */
  public opened = 0;
  private kind: CutKind | undefined;
  private readonly sockets = new Set<net.Socket>();
  private readonly pairs = new Set<Pair>();
  private readonly servers = Array.from({ length: LISTENERS }, createServer);
  private dials = 0;

  /** Starts the local relay through which the connections run. */
  public async start(): Promise<void> {
    await Promise.all(
      this.servers.map(
        ({ server }) =>
          new Promise<void>((resolve) => {
            server.listen(0, '127.0.0.1', resolve);
          }),
      ),
    );
  }

  /** Cuts the host off from all upstreams. */
  public cut(kind: CutKind): void {
    this.kind = kind;
    if (kind === 'reset') {
      this.resetAll();
    } else if (kind !== 'refused') {
      this.pairs.forEach(({ near, far }) => [near, far].forEach((socket) => socket?.pause()));
    }
  }

  /** Ends the cut; bytes that were held up arrive now. */
  public heal(): void {
    this.kind = undefined;
    this.pairs.forEach(({ near, far }) => {
      if (far === undefined || near.destroyed || far.destroyed) {
        near.destroy();
        far?.destroy();
      } else {
        near.resume();
        far.resume();
      }
    });
  }

  /** Closes every connection. */
  public stop(): void {
    this.resetAll();
    this.sockets.forEach((socket) => socket.destroy());
    this.kind = 'refused';
    this.servers.forEach(({ accepted, server }) => {
      accepted.forEach((socket) => socket.destroy());
      server.close();
      server.unref();
    });
  }

  /** Opens a connection to an IP address and port; rejects after `timeoutMs`. */
  public async dial(address: string, timeoutMs: number): Promise<net.Socket> {
    if (this.kind === 'reset' || this.kind === 'refused') {
      throw createConnectError('ECONNREFUSED', address);
    }
    if (this.kind === 'hang') {
      await new Promise((resolve) => {
        setTimeout(resolve, timeoutMs);
      });
      throw createConnectError('ETIMEDOUT', address);
    }
    const [host, port] = address.split(':');
    const far = this.kind === 'silent' ? undefined : await connect(Number(port), host!);
    this.opened += 1;
    return this.join(far);
  }

  private async join(far: net.Socket | undefined): Promise<net.Socket> {
    const relay = this.servers[this.dials % LISTENERS]!;
    this.dials += 1;
    const { port } = relay.server.address() as net.AddressInfo;
    const own = await connect(port, '127.0.0.1');
    const near = await takeAccepted(relay, own.localPort!);
    near.unref();
    [own, near, far].forEach((socket) => socket && this.sockets.add(socket));
    const pair = { near, far };
    this.pairs.add(pair);
    this.forward(pair, near, far);
    if (far !== undefined) {
      this.forward(pair, far, near);
      near.resume();
    }
    return own;
  }

  private forward(pair: Pair, from: net.Socket, to: net.Socket | undefined): void {
    const isSilent = () => this.kind === 'hang' || this.kind === 'silent';
    from.on('error', () => {});
    from.on('data', (bytes: Buffer) => {
      if (to !== undefined && !to.write(bytes)) {
        from.pause();
        to.once('drain', () => {
          if (!isSilent()) {
            from.resume();
          }
        });
      }
    });
    let wasReset = false;
    // A reset that arrives together with data is reported as a plain end; an empty write fails after a reset.
    from.once('end', () =>
      from.write('', (err) => {
        wasReset = Boolean(err);
      }),
    );
    from.on('close', (hadError: boolean) => {
      if (isSilent()) {
        return;
      }
      this.pairs.delete(pair);
      if ((hadError || wasReset) && to !== undefined) {
        resetConnections.resetConnection(to);
      } else {
        to?.destroySoon();
      }
    });
  }

  private resetAll(): void {
    this.pairs.forEach(({ near, far }) => {
      [near, far].forEach((socket) => socket && resetConnections.resetConnection(socket));
    });
    this.pairs.clear();
  }
}

function createServer(): RelayServer {
  const accepted = new Map<number, net.Socket>();
  const server = net.createServer({ pauseOnConnect: true }, (socket) => {
    accepted.set(socket.remotePort!, socket);
    server.emit(`accepted-${socket.remotePort}`);
  });
  return { server, accepted };
}

async function takeAccepted(
  { accepted, server }: RelayServer,
  remotePort: number,
): Promise<net.Socket> {
  if (!accepted.has(remotePort)) {
    await new Promise((resolve) => {
      server.once(`accepted-${remotePort}`, resolve);
    });
  }
  const socket = accepted.get(remotePort)!;
  accepted.delete(remotePort);
  return socket;
}

function connect(port: number, host: string): Promise<net.Socket> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, host);
    socket.setNoDelay(true);
    // A connection that a test leaves open must not keep its process from ending.
    socket.unref();
    socket.once('connect', () => resolve(socket));
    socket.once('error', reject);
  });
}

function createConnectError(code: string, address: string): Error {
  return Object.assign(new Error(`connect ${code} ${address}`), { code, syscall: 'connect' });
}
