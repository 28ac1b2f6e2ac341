import type * as stream from 'node:stream';

import type * as schemas from '@bramleyridge/schemas';

/** Interval at which open calls are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Number of upstreams at which calls must wait, so that the silence of a single one is not taken for a lost path. */
const MIN_SILENT = 2;

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
 * Notices that nothing arrives from any upstream while calls wait at several. A connection that hangs fails only by the call's
 * deadline; until then it can't be told from a slow answer, unless other upstreams are heard meanwhile.
 */
export class SilenceWatch {
  private readonly calls = new Set<OpenCall>();
  private readonly receipts = new Set<ReceiptCheck>();
  /** Upstreams at which calls have waited too long since anything was heard; the calls may have ended since. */
  private readonly silent = new Set<string>();
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
    socket.once('close', () => this.receipts.delete(receipt));
  }

  /**
   * Records that a call was sent, which may be without an answer for `patienceMs`; the returned function records its
   * end.
   */
  public begin(address: string, patienceMs: number): () => void {
    const call = { address, sentAt: this.clock.now(), patienceMs };
    this.calls.add(call);
    if (this.timer === undefined) {
      // Bytes that arrived while no call waited are not heard now.
      this.receipts.forEach((receipt) => receipt.hasReceived());
      this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
    }
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
    const overdue = [...this.calls].filter(
      ({ patienceMs, sentAt }) => now - Math.max(sentAt, this.heardAt) >= patienceMs,
    );
    overdue.forEach(({ address }) => this.silent.add(address));
    if (overdue.length === 0 || this.silent.size < MIN_SILENT) {
      return;
    }
    const since = Math.max(this.heardAt, Math.min(...overdue.map(({ sentAt }) => sentAt)));
    overdue
      .filter(({ address }) => now - (this.checkedAt.get(address) ?? -Infinity) >= RECHECK_MS)
      .forEach(({ address }) => {
        this.checkedAt.set(address, now);
        this.onSilence(address, since);
      });
  }

  private note(receipt: ReceiptCheck): void {
    if (receipt.hasReceived()) {
      this.heardAt = this.clock.now();
      this.silent.clear();
      this.onHeard();
    }
  }

  private stopTimer(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.checkedAt.clear();
  }
}
