import type * as stream from 'node:stream';

/** How many chunks may wait before the stream is paused; nothing is read for a caller that is slow. */
const MAX_WAITING = 16;

/**
 * Reads a stream chunk by chunk. It does what the stream's own iterator does, with a third of its promises
 * for each chunk: that iterator was the largest part of what a relayed token cost.
 */
export class ChunkReader {
  private readonly waiting: Buffer[] = [];
  private isOver = false;
  private failure: Error | undefined;
  private wake: (() => void) | undefined;

  public constructor(private readonly body: stream.Readable) {
    body.on('data', (chunk: Buffer) => this.take(chunk));
    body.on('end', () => this.finish());
    body.on('close', () => this.finish());
    body.on('error', (err) => this.finish(err));
  }

  /** The next chunk, or nothing at the end; throws when the stream failed and all before it is read. */
  public async next(): Promise<Buffer | undefined> {
    if (this.waiting.length === 0 && !this.isOver) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    const chunk = this.waiting.shift();
    if (chunk === undefined && this.failure !== undefined) {
      throw this.failure;
    }
    if (this.body.isPaused() && this.waiting.length === 0) {
      this.body.resume();
    }
    return chunk;
  }

  private take(chunk: Buffer): void {
    this.waiting.push(chunk);
    if (this.waiting.length >= MAX_WAITING) {
      this.body.pause();
    }
    this.wakeReader();
  }

  private finish(err?: Error): void {
    this.isOver = true;
    this.failure ??= err;
    this.wakeReader();
  }

  private wakeReader(): void {
    const { wake } = this;
    this.wake = undefined;
    wake?.();
  }
}
