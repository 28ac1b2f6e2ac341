import type * as http from 'node:http';
import type * as net from 'node:net';

/**
 * Memory of a header's name or value beside its characters, in bytes: that of a call which runs, with the headers of the
 * request to its upstream.
 */
const TEXT_BYTES = 128;

/** Heads that may be in memory in one round of the event loop, with those of closed connections, as a multiple of the limit. */
const MAX_ROUND_SHARE = 2;

/** A socket with what Node.js keeps of a head that is not ended; the types of Node.js lack it. */
interface ParsedSocket extends net.Socket {
  readonly parser?: { readonly _headers?: readonly string[] } | null;
}

/** Counts the memory of heads. That of a closed connection is free only when its socket has reported its end. */
export class HeadMemory {
  private held = 0;
  private closed = 0;

  /** Returns the memory of the heads of open connections, in bytes. */
  public getBytes(): number {
    return this.held;
  }

  /** Adds the memory of heads; negative bytes are free. */
  public add(bytes: number): void {
    this.held += bytes;
  }

  /** Counts heads as those of a closed connection, until its socket has reported its end. */
  public close(bytes: number, socket: net.Socket): void {
    this.held -= bytes;
    this.closed += bytes;
    socket.once('close', () => {
      this.closed -= bytes;
    });
  }

  /** Returns whether another head may be kept in this round of the event loop, by the limit of the open connections in bytes. */
  public hasRoundRoom(bytes: number, limit: number): boolean {
    return this.held + this.closed + bytes <= limit * MAX_ROUND_SHARE;
  }
}

/** Frees the memory of the head of a request that no handler gets; Node.js keeps the request until its socket reports its end. */
export function releaseHead(req: http.IncomingMessage): void {
  Object.assign(req, { rawHeaders: [], headers: {}, url: '' });
}

/** Estimates the memory of a head, in bytes: many small headers take many times their characters. */
export function estimateHeadBytes({ rawHeaders, url = '' }: http.IncomingMessage): number {
  return url.length + estimateTextBytes(rawHeaders);
}

/** Estimates the memory of the headers that the parser keeps of a head until it is ended, in bytes. */
export function estimateUnendedHeadBytes(socket: ParsedSocket): number {
  return estimateTextBytes(socket.parser?._headers ?? []);
}

function estimateTextBytes(texts: readonly string[]): number {
  return texts.reduce((sum, text) => sum + text.length + TEXT_BYTES, 0);
}
