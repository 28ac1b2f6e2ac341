import type * as stream from 'node:stream';

/** Number of buffered chunks at which the stream is paused, so that a slow caller takes no unlimited memory. */
const MAX_BUFFERED_CHUNKS = 16;

/**
 * Reads a stream chunk by chunk. It is equivalent to the stream's async iterator, but creates a third of the promises
 * per chunk; the iterator was the largest part of the cost of relaying a token.
 */
export class ChunkReader {
  private readonly buffered: Buffer[] = [];
  private hasEnded = false;
  private failure: Error | undefined;
  private resolveNext: (() => void) | undefined;

  public constructor(private readonly body: stream.Readable) {
    body.on('data', (chunk: Buffer) => this.take(chunk));
    body.on('end', () => this.finish());
    body.on('close', () => this.finish());
    body.on('error', (err) => this.finish(err));
  }

  /** Returns the next chunk, or `undefined` at the end; throws an error of the stream after all chunks before it. */
  public async next(): Promise<Buffer | undefined> {
    if (this.buffered.length === 0 && !this.hasEnded) {
      await new Promise<void>((resolve) => {
        this.resolveNext = resolve;
      });
    }
    const chunk = this.buffered.shift();
    if (chunk === undefined && this.failure !== undefined) {
      throw this.failure;
    }
    if (this.body.isPaused() && this.buffered.length === 0) {
      this.body.resume();
    }
    return chunk;
  }

  private take(chunk: Buffer): void {
    this.buffered.push(chunk);
    if (this.buffered.length >= MAX_BUFFERED_CHUNKS) {
      this.body.pause();
    }
    this.notifyReader();
  }

  private finish(err?: Error): void {
    this.hasEnded = true;
    this.failure ??= err;
    this.notifyReader();
  }

  private notifyReader(): void {
    const { resolveNext } = this;
    this.resolveNext = undefined;
    resolveNext?.();
  }
}
