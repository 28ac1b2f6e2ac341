import type * as stream from 'node:stream';

import type * as schemas from '@bramleyridge/schemas';

/** Interval at which open calls are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Shortest time between two checks of one upstream, in milliseconds. */
const RECHECK_MS = 1_000;

interface OpenCall {
  readonly address: string;
  readonly sentAt: number;
  readonly patienceMs: number;
}

/** Tells whether a connection has received bytes since the last look. */
class ReceiptCheck {
  private bytesRead = 0;

  public constructor(private readonly socket: stream.Duplex & { readonly bytesRead?: number }) {}

  public hasReceived(): boolean {
    const former = this.bytesRead;
    this.bytesRead = this.socket.bytesRead ?? 0;
    return this.bytesRead > former;
  }
}

/** Called with an upstream that is silent, and the time since which no upstream was heard. */
export type OnSilence = (address: string, since: number) => void;

/**
 * Notices that nothing arrives from any upstream while a call waits. A connection that hangs fails only by the call's
 * deadline; until then it can't be told from a slow answer, unless other upstreams are heard meanwhile.
 */
export class SilenceWatch {
  private readonly calls = new Set<OpenCall>();
  private readonly receipts = new Set<ReceiptCheck>();
  private readonly checkedAt = new Map<string, number>();
  private heardAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly onSilence: OnSilence,
    private readonly onHeard: () => void,
  ) {}

  /** Watches a connection of this host to an upstream. */
  public watch(socket: stream.Duplex): void {
    const receipt = new ReceiptCheck(socket);
    this.receipts.add(receipt);
    socket.once('close', () => {
      this.note(receipt);
      this.receipts.delete(receipt);
    });
  }

  /**
   * Records that a call was sent, which may be without an answer for `patienceMs`; the returned function records its
   * end.
   */
  public begin(address: string, patienceMs: number): () => void {
    const call = { address, sentAt: this.clock.now(), patienceMs };
    this.calls.add(call);
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
    return () => {
      this.calls.delete(call);
    };
  }

  /** Stops watching. */
  public stop(): void {
    this.calls.clear();
    this.stopTimer();
  }

  /** Checks the open calls. */
  public check(): void {
    if (this.calls.size === 0) {
      this.stopTimer();
      return;
    }
    this.receipts.forEach((receipt) => this.note(receipt));
    const now = this.clock.now();
    for (const call of this.calls) {
      const since = Math.max(call.sentAt, this.heardAt);
      const isDue = now - (this.checkedAt.get(call.address) ?? -Infinity) >= RECHECK_MS;
      if (isDue && now - since >= call.patienceMs) {
        this.checkedAt.set(call.address, now);
        this.onSilence(call.address, since);
      }
    }
  }

  private note(receipt: ReceiptCheck): void {
    if (receipt.hasReceived()) {
      this.heardAt = this.clock.now();
      this.onHeard();
    }
  }

  private stopTimer(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.checkedAt.clear();
  }
}
