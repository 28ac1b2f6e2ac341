import * as net from 'node:net';

/** Where ports are held. */
const HOLDING_HOST = '127.0.0.1';

/** Where held ports are used; connections that go out on loopback leave from the other address and never take one. */
export const HELD_PORT_HOST = '127.0.0.2';

/**
 * Port numbers that nobody else gets while they are held. Settings must name ports before anything listens there; a
 * port that was found free and closed again is given to whoever asks next, and the start fails with `EADDRINUSE`. So the
 * number stays taken on one loopback address and is used on others.
 */
export class HeldPorts {
  private constructor(private readonly servers: readonly net.Server[]) {}

  /** Takes so many ports that the operating system chooses. */
  public static async take(count: number): Promise<HeldPorts> {
    return new HeldPorts(await Promise.all(Array.from({ length: count }, listen)));
  }

  /** Their numbers. */
  public list(): number[] {
    return this.servers.map((server) => (server.address() as net.AddressInfo).port);
  }

  /** Gives them up. */
  public release(): void {
    this.servers.forEach((server) => server.close());
  }
}

function listen(): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    // A program that forgets to give them up must end all the same.
    server.unref();
    server.listen(0, HOLDING_HOST, () => resolve(server));
  });
}
