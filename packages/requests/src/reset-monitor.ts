import type * as stream from 'node:stream';

import * as paths from '@bramleyridge/paths';
import type * as undici from 'undici';

/** Counts, for each upstream's address, the connections to it that ended with an error. */
export class ResetMonitor {
  private readonly counts = new Map<string, number>();

  /** Creates a connector whose connections are monitored from their first byte on. */
  public createConnector(open: paths.OpenConnection): undici.buildConnector.connector {
    return paths.createConnector(async (address) => {
      const socket = await open(address);
      this.monitor(socket, address);
      return socket;
    });
  }

  /** Returns how many connections to an address have ended with an error so far. */
  public count(url: string): number {
    return this.counts.get(new URL(url).host) ?? 0;
  }

  private monitor(socket: stream.Duplex, address: string): void {
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

  private countError(host: string): void {
    this.counts.set(host, (this.counts.get(host) ?? 0) + 1);
  }
}
