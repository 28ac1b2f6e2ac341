import type * as stream from 'node:stream';

import type * as schemas from '@bramleyridge/schemas';

/** Interval at which open calls are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Number of upstreams at which calls must wait, so that the silence of a single one is not taken for a lost path. */
const MIN_SILENT = 2;

/** Time for which nothing may have arrived from any upstream when the answer of one has stopped, in milliseconds. */
const QUIET_MS = 300;

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

/**
 * Called with an upstream that is silent, the time since which no upstream was heard, and whether it was not checked since
 * then.
 */
export type OnSilence = (address: string, since: number, isFirst: boolean) => void;

/** An upstream at which a call has waited too long, and the time since which no upstream was heard. */
export interface SilentUpstream {
  readonly address: string;
  readonly since: number;
}

/**
 * Notices that nothing arrives from any upstream while calls wait at several. A connection that hangs fails only by the call's
 * deadline; until then it can't be told from a slow answer, unless other upstreams are heard meanwhile.
 */
export class SilenceWatch {
  private readonly calls = new Set<OpenCall>();
  private readonly receipts = new Set<ReceiptCheck>();
  /**
   * Upstreams at which calls have waited too long since anything was heard, or answers have stopped, and since when; they may
   * have ended since.
   */
  private readonly silent = new Map<string, number>();
  private readonly checkedAt = new Map<string, number>();
  /** Number of answers that are being read. */
  private answers = 0;
  private heardAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly onSilence: OnSilence,
    /** Called with the time at which bytes of an upstream were noticed. */
    private readonly onHeard: (at: number) => void,
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
    this.startTimer();
    return () => {
      this.calls.delete(call);
    };
  }

  /**
   * Records that an answer is being read, so that bytes are noticed when they arrive; the returned function records its
   * end.
   */
  public beginAnswer(): () => void {
    this.answers += 1;
    this.startTimer();
    let isOpen = true;
    return () => {
      this.answers -= isOpen ? 1 : 0;
      isOpen = false;
    };
  }

  /** Records that an answer of an upstream has stopped, which counts if nothing arrives from any other either. */
  public recordStopped(address: string): void {
    this.receipts.forEach((receipt) => this.note(receipt));
    const since = this.clock.now() - QUIET_MS;
    if (this.heardAt <= since && !this.silent.has(address)) {
      this.silent.set(address, since);
    }
  }

  /**
   * Returns an upstream at which a call has waited too long, if nothing was heard from any upstream since; each once a
   * second. The path to all of them may be lost: a single one says too little to check it while nothing depends on it.
   */
  public takeSilent(): SilentUpstream | undefined {
    this.receipts.forEach((receipt) => this.note(receipt));
    const now = this.clock.now();
    const address = [...this.silent.keys()].find((item) => this.mayCheck(item, now));
    if (address === undefined) {
      return undefined;
    }
    this.checkedAt.set(address, now);
    return { address, since: Math.max(this.heardAt, this.silent.get(address)!) };
  }

  /** Returns the time at which bytes of an upstream were noticed last. */
  public getHeardAt(): number {
    return this.heardAt;
  }

  /** Stops watching. */
  public stop(): void {
    this.calls.clear();
    this.stopTimer();
  }

  /** Checks the open calls. */
  public check(): void {
    if (this.calls.size === 0 && this.answers === 0) {
      this.stopTimer();
      return;
    }
    this.receipts.forEach((receipt) => this.note(receipt));
    const now = this.clock.now();
    const overdue = [...this.calls].filter(
      ({ patienceMs, sentAt }) => now - Math.max(sentAt, this.heardAt) >= patienceMs,
    );
    overdue
      .filter(({ address }) => !this.silent.has(address))
      .forEach(({ address, sentAt }) => this.silent.set(address, sentAt));
    if (overdue.length === 0 || this.silent.size < MIN_SILENT) {
      return;
    }
    const since = Math.max(this.heardAt, Math.min(...overdue.map(({ sentAt }) => sentAt)));
    [...new Set(overdue.map(({ address }) => address))]
      .filter((address) => this.mayCheck(address, now))
      .forEach((address) => {
        const isFirst = (this.checkedAt.get(address) ?? -Infinity) < since;
        this.checkedAt.set(address, now);
        this.onSilence(address, since, isFirst);
      });
  }

  private mayCheck(address: string, now: number): boolean {
    return now - (this.checkedAt.get(address) ?? -Infinity) >= RECHECK_MS;
  }

  private note(receipt: ReceiptCheck): void {
    if (receipt.hasReceived()) {
      this.heardAt = this.clock.now();
      this.silent.clear();
      this.onHeard(this.heardAt);
    }
  }

  private startTimer(): void {
    if (this.timer !== undefined) {
      return;
    }
    // Bytes that arrived while no call waited are not heard now; the silence before them has ended.
    const received = [...this.receipts].filter((receipt) => receipt.hasReceived());
    if (received.length > 0) {
      this.silent.clear();
    }
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  private stopTimer(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    const now = this.clock.now();
    [...this.checkedAt.keys()]
      .filter((address) => this.mayCheck(address, now))
      .forEach((address) => this.checkedAt.delete(address));
  }
}
