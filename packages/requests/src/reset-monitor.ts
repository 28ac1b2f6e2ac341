import * as undici from 'undici';

/** Counts, for each upstream's address, the connections to it that ended with an error. */
export class ResetMonitor {
  private readonly counts = new Map<string, number>();

  /** A connector whose connections are watched from their first byte on. */
  public createConnector(connectMs: number): undici.buildConnector.connector {
    const connect = undici.buildConnector({ timeout: connectMs });
    return (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result;
        const note = (err: NodeJS.ErrnoException | null | undefined) => {
          // The HTTP library also ends connections with errors of its own, in good order.
          if (err?.syscall !== undefined) {
            this.note(options.host ?? options.hostname);
          }
        };
        socket?.once('error', note);
        // Bytes and a reset that are found in one look at the socket are reported as a plain end. Writing
        // nothing tells them apart: it fails on a connection that was reset and does nothing on any other.
        socket?.once('end', () => socket.write('', note));
        callback(...result);
      });
    };
  }

  /** How many connections to an address have ended with an error so far. */
  public count(url: string): number {
    return this.counts.get(new URL(url).host) ?? 0;
  }

  private note(host: string): void {
    this.counts.set(host, (this.counts.get(host) ?? 0) + 1);
  }
}
