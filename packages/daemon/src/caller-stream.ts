import type * as http from 'node:http';

import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

/** Interval between the keep-alive comments of an open stream, in milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 5_000;

/** Dependencies and limits of a stream to a caller. */
export interface CallerStreamOptions {
  readonly generation: string;
  readonly model: string;
  readonly limits: schemas.DaemonConfig['limits'];
}

/** Writes a generation to a caller as server-sent events. */
export class CallerStream {
  private isOpen = true;
  private readonly keepAliveTimer: NodeJS.Timeout;

  public constructor(
    private readonly res: http.ServerResponse,
    private readonly options: CallerStreamOptions,
  ) {
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      [schemas.GENERATION_HEADER]: options.generation,
    });
    res.flushHeaders();
    res.on('close', () => {
      this.isOpen = false;
      clearInterval(this.keepAliveTimer);
    });
    // A middlebox may drop the state of an idle connection without closing it. The comments make
    // the socket fail then, so that the lost caller is detected.
    this.keepAliveTimer = setInterval(() => res.write(': alive\n\n'), KEEP_ALIVE_INTERVAL_MS);
  }

  /** Returns whether the caller is still connected. */
  public isConnected(): boolean {
    return this.isOpen;
  }

  /**
   * Writes events and waits while the caller reads slowly. The buffered data is bounded by the
   * socket buffer and one chunk, since nothing is read from the engine during the wait. A caller
   * that does not read within the grace period is disconnected.
   */
  public async write(bytes: Buffer): Promise<void> {
    if (this.res.write(bytes) || !this.isOpen) {
      return;
    }
    await this.waitForDrain();
  }

  /** Writes the final event and ends the response. */
  public end(end: requests.RelayEnd): void {
    clearInterval(this.keepAliveTimer);
    if (!this.isOpen) {
      return;
    }
    this.res.end(
      end.outcome === 'complete' ? this.createFinalEvent(end) : this.createInterruptedEvent(end),
    );
  }

  private waitForDrain(): Promise<void> {
    return new Promise((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.res.off('drain', settle);
        this.res.off('close', settle);
        resolve();
      };
      const timer = setTimeout(() => {
        this.res.destroy();
        settle();
      }, this.options.limits.callerGraceMs);
      this.res.once('drain', settle);
      this.res.once('close', settle);
    });
  }

  private createFinalEvent(end: requests.RelayEnd): string {
    const data = {
      id: this.options.generation,
      object: 'chat.completion.chunk',
      created: Math.floor(Date.now() / 1_000),
      model: this.options.model,
      choices: [],
      bramleyridge: { outcome: 'complete', tokens: Math.max(0, end.next - 1) },
    };
    return `data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`;
  }

  private createInterruptedEvent(end: requests.RelayEnd): string {
    const refusal = new schemas.Refusal({
      id: 'generationGone',
      step: 'relay',
      status: 502,
      outcome: end.outcome,
      args: [end.next],
    });
    const data = { ...refusal.toJson(), bramleyridge: { outcome: end.outcome, tokens: end.next } };
    return `data: ${JSON.stringify(data)}\n\n`;
  }
}
