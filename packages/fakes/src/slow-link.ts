import * as net from 'node:net';

/** Interval at which queued bytes are passed on, in milliseconds. */
const TICK_MS = 5;

/** Bytes of one connection that the link holds before it reads no more of them. */
const BUFFER_BYTES = 32 * 1024;

/** Options of {@link SlowLink}. */
export interface SlowLinkOptions {
  /** Where the connections lead. */
  readonly target: { readonly host: string; readonly port: number };
  /** Bytes per second, in each direction and for all connections together. */
  readonly bytesPerS: number;
}

interface Pending {
  readonly from: net.Socket;
  readonly to: net.Socket;
  bytes: Buffer;
}

/** A TCP proxy with the bandwidth of a slow link, which all its connections share. */
export class SlowLink {
  /** Bytes passed on so far, in both directions. */
  public passedBytes = 0;
  private readonly sockets = new Set<net.Socket>();
  private readonly queues: readonly [Pending[], Pending[]] = [[], []];
  private readonly server: net.Server;
  private readonly timer: NodeJS.Timeout;
  private passedAt = performance.now();

  private constructor(private readonly options: SlowLinkOptions) {
    this.server = net.createServer((near) => this.connect(near));
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Opens a link on a port chosen by the operating system. */
  public static async open(options: SlowLinkOptions): Promise<SlowLink> {
    const link = new SlowLink(options);
    await new Promise<void>((resolve, reject) => {
      link.server.once('error', reject);
      link.server.listen(0, '127.0.0.1', resolve);
    });
    return link;
  }

  /** The port on which the link accepts connections. */
  public get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Closes every connection; new ones still work. */
  public resetAll(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Closes the link. */
  public close(): void {
    clearInterval(this.timer);
    this.server.close();
    this.resetAll();
  }

  private connect(near: net.Socket): void {
    const far = net.connect(this.options.target);
    this.relay(near, far, this.queues[0]);
    this.relay(far, near, this.queues[1]);
  }

  private relay(from: net.Socket, to: net.Socket, queue: Pending[]): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('error', () => {});
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
    from.on('data', (bytes: Buffer) => {
      queue.push({ from, to, bytes });
      const held = queue.filter((item) => item.from === from);
      if (held.reduce((sum, item) => sum + item.bytes.length, 0) > BUFFER_BYTES) {
        from.pause();
      }
    });
  }

  /** Passes on the bytes of the time since the last tick: ticks come late in a busy process. */
  private tick(): void {
    const now = performance.now();
    const bytes = Math.ceil((this.options.bytesPerS * (now - this.passedAt)) / 1_000);
    this.passedAt = now;
    this.queues.forEach((queue) => this.passOn(queue, bytes));
  }

  /** Passes on bytes in the order in which they came. */
  private passOn(queue: Pending[], maxBytes: number): void {
    let leftBytes = maxBytes;
    while (leftBytes > 0 && queue[0] !== undefined) {
      const [first] = queue;
      const part = first.bytes.subarray(0, leftBytes);
      first.bytes = first.bytes.subarray(part.length);
      leftBytes -= part.length;
      this.passedBytes += part.length;
      first.to.write(part);
      if (first.bytes.length === 0) {
        queue.shift();
        first.from.resume();
      }
    }
  }
}
