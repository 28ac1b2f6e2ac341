import * as net from 'node:net';

import type * as fakes from '@bramleyridge/fakes';

/** Size of the block that is written over and over, in bytes. */
const BLOCK_BYTES = 64 * 1024;

/** Stands before an engine and answers its completions with bytes without end; all other calls are passed on. */
export class EndlessEngine {
  /** Number of completions received. */
  public calls = 0;
  /** Number of connections on which bytes are written. */
  public writing = 0;
  /** Number of bytes that peers have taken, or their sockets have buffered. */
  public taken = 0;
  public bytes: fakes.EndlessBytes | undefined;
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer((socket) => this.accept(socket));

  public constructor(private readonly enginePort: number) {}

  /** Starts it and returns its URL. */
  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Ends it with all connections. */
  public close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private accept(near: net.Socket): void {
    const far = net.connect(this.enginePort, '127.0.0.1');
    [near, far].forEach((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => {
        this.sockets.delete(socket);
        near.destroy();
        far.destroy();
      });
    });
    far.pipe(near);
    near.on('data', (part: Buffer) => {
      if (this.bytes !== undefined && part.toString('latin1').startsWith('POST /v1/')) {
        far.unpipe(near);
        this.write(near, this.bytes, part.toString('latin1'));
      } else {
        far.write(part);
      }
    });
  }

  private write(near: net.Socket, { first, repeated }: fakes.EndlessBytes, call: string): void {
    this.calls += 1;
    this.writing += 1;
    near.once('close', () => {
      this.writing -= 1;
    });
    const unit = Buffer.from(repeated);
    const count = Math.max(1, Math.floor(BLOCK_BYTES / unit.length));
    const block = Buffer.concat(Array.from({ length: count }, () => unit));
    const writeBlock = () => {
      if (!near.destroyed) {
        near.write(block, () => {
          this.taken += block.length;
          setImmediate(writeBlock);
        });
      }
    };
    near.write(first?.(call) ?? '');
    writeBlock();
  }
}
