import type * as http from 'node:http';

import type * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

/** How often a caller that waits is sent a comment, in milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 5_000;

/** What a stream to a caller needs. */
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
    // A caller behind a middlebox that forgot the connection is found by what it does not take any more.
    this.keepAliveTimer = setInterval(() => res.write(': alive\n\n'), KEEP_ALIVE_INTERVAL_MS);
  }

  /** Whether the caller is still there. */
  public isConnected(): boolean {
    return this.isOpen;
  }

  /**
   * Writes events and waits while the caller is slow. What waits is bounded by the socket's own buffer and
   * one chunk, since nothing is read from the engine meanwhile.
   */
  public async write(bytes: Buffer): Promise<void> {
    if (this.res.write(bytes) || !this.isOpen) {
      return;
    }
    await this.waitForDrain();
  }

  /** Writes the last event and ends. */
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
