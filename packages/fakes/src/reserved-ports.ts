import * as net from 'node:net';

/** Address on which ports are reserved. */
const RESERVATION_HOST = '127.0.0.1';

/**
 * Address on which reserved ports are used. Outgoing loopback connections use the other address as their source, so
 * their ephemeral ports never take one of these.
 */
export const RESERVED_PORT_HOST = '127.0.0.2';

/**
 * Port numbers reserved for a test's processes. Settings must name ports before anything listens on them. A port that
 * was only found free and closed again may be assigned to another process, and the start then fails with `EADDRINUSE`.
 * The number is therefore kept bound on one loopback address and used on another one.
 */
export class ReservedPorts {
  private constructor(private readonly servers: readonly net.Server[]) {}

  /** Reserves `count` ports chosen by the operating system. */
  public static async take(count: number): Promise<ReservedPorts> {
    return new ReservedPorts(await Promise.all(Array.from({ length: count }, reserve)));
  }

  /** Returns the port numbers. */
  public list(): number[] {
    return this.servers.map((server) => (server.address() as net.AddressInfo).port);
  }

  /** Releases the ports. */
  public release(): void {
    this.servers.forEach((server) => server.close());
  }
}

/** Reserves a port on which nothing listens, such as a process that an ended test left behind. */
async function reserve(): Promise<net.Server> {
  const server = await listen(0, RESERVATION_HOST);
  const { port } = server.address() as net.AddressInfo;
  const trial = await listen(port, RESERVED_PORT_HOST).catch(() => undefined);
  if (trial === undefined) {
    const next = await reserve();
    server.close();
    return next;
  }
  await new Promise((resolve) => {
    trial.close(resolve);
  });
  return server;
}

function listen(port: number, host: string): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    // Lets a program exit that does not release its ports.
    server.unref();
    server.listen(port, host, () => resolve(server));
  });
}
