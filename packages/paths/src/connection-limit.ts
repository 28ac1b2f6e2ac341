import type * as stream from 'node:stream';

/** Share of the connections up to which a call may open a second one beside the first. */
const SPARE_SHARE = 0.5;

/** Codes of connects that fail since the process or its machine has no descriptors left. */
const NO_DESCRIPTOR_CODES: ReadonlySet<string> = new Set(['EMFILE', 'ENFILE']);

/** Error of a connection that a host does not open, since it has as many as it may or can. Nothing was sent. */
export class ConnectionLimitError extends Error {
  public override readonly name = 'ConnectionLimitError';

  public constructor(cause?: unknown) {
    super('this host has no room for another connection to an upstream', { cause });
  }
}

/** Returns a `ConnectionLimitError` for the failure of a connect that shows nothing about the upstream. */
export function toLimitError(err: unknown): unknown {
  const code = String((err as { code?: unknown } | undefined)?.code);
  return NO_DESCRIPTOR_CODES.has(code) ? new ConnectionLimitError(err) : err;
}

/**
 * Limits the connections to upstreams that a host opens for calls, by itself and through other hosts. Those that are kept
 * for later calls yield to new ones.
 */
export class ConnectionLimit {
  private readonly sockets = new Set<stream.Duplex>();
  private opening = 0;

  /** `findMax` returns the limit now; there is none by default. `findIdle` returns a connection that no call uses. */
  public constructor(
    private readonly findMax: () => number = () => Infinity,
    private readonly findIdle: () => stream.Duplex | undefined = () => undefined,
  ) {}

  /** Returns the number of connections that are open or being opened. */
  public countOpen(): number {
    return this.sockets.size + this.opening;
  }

  /** Returns whether there is no room for another connection, nor one that a call could use or replace. */
  public isFull(): boolean {
    return this.countOpen() >= this.findMax() && this.findIdle() === undefined;
  }

  /** Returns whether there is room for connections that calls can do without. */
  public hasSpare(): boolean {
    return this.countOpen() < this.findMax() * SPARE_SHARE;
  }

  /** Opens a connection that counts until it is closed; throws a `ConnectionLimitError` if there is no room for it. */
  public async open<T extends stream.Duplex>(open: () => Promise<T>): Promise<T> {
    this.makeRoom();
    this.opening += 1;
    try {
      const socket = await open();
      if (!socket.closed) {
        this.sockets.add(socket);
        socket.once('close', () => this.sockets.delete(socket));
      }
      return socket;
    } finally {
      this.opening -= 1;
    }
  }

  private makeRoom(): void {
    while (this.countOpen() >= this.findMax()) {
      const idle = this.findIdle();
      if (idle === undefined) {
        throw new ConnectionLimitError();
      }
      // The descriptor is free at once, before the socket reports its end.
      idle.destroy();
      this.sockets.delete(idle);
    }
  }
}
