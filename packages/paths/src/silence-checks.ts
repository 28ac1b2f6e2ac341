import * as schemas from '@bramleyridge/schemas';

/**
 * Number of silent upstreams that are checked at once, each over up to six connections; a host has some hundred
 * descriptors for such purposes.
 */
const MAX_CHECKS = 10;

interface WaitingCheck {
  /** Whether the upstream was not checked in this silence; first checks come before others. */
  readonly isFirst: boolean;
  readonly since: number;
}

/** Checks silent upstreams, some at once; the others wait. */
export class SilenceChecks {
  private readonly waiting = new Map<string, WaitingCheck>();
  private readonly running = new Set<string>();

  public constructor(
    private readonly check: (address: string, since: number) => Promise<void>,
    private readonly log: schemas.Log,
  ) {}

  /** Checks an upstream that has been silent since a time; no effect while its check waits or runs. */
  public add(address: string, check: WaitingCheck): void {
    if (!this.running.has(address) && !this.waiting.has(address)) {
      this.waiting.set(address, check);
      this.startNext();
    }
  }

  /** Drops the checks that wait. */
  public stop(): void {
    this.waiting.clear();
  }

  private startNext(): void {
    const waiting = [...this.waiting];
    const next = waiting.find(([, { isFirst }]) => isFirst) ?? waiting[0];
    if (next === undefined || this.running.size >= MAX_CHECKS) {
      return;
    }
    const [address, { since }] = next;
    this.waiting.delete(address);
    this.running.add(address);
    const run = () =>
      this.check(address, since).finally(() => {
        this.running.delete(address);
        this.startNext();
      });
    schemas.runInBackground(run, { log: this.log, step: 'check-silence', peer: address });
  }
}
