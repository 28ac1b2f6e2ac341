import type * as stream from 'node:stream';

/** Counts, for each upstream's address, the connections to it that ended with an error. */
export class ResetMonitor {
  private readonly counts = new Map<string, number>();

  /** Returns how many connections to an address have ended with an error so far. */
  public count(address: string): number {
    return this.counts.get(address) ?? 0;
  }

  /** Monitors a connection from its first byte on. */
  public monitor(socket: stream.Duplex, address: string): void {
    const onError = (err: NodeJS.ErrnoException | null | undefined) => {
      // The HTTP library reports errors of its own, without a `syscall`, when it closes connections normally.
      if (err?.syscall !== undefined) {
        this.countError(address);
      }
    };
    socket.once('error', onError);
    // A reset that arrives together with data is reported as a plain end. An empty write tells the two apart: it fails
    // on a connection that was reset and has no effect on any other.
    socket.once('end', () => socket.write('', onError));
  }

  private countError(address: string): void {
    this.counts.set(address, (this.counts.get(address) ?? 0) + 1);
  }
}
