import type * as scheduling from '@bramleyridge/scheduling';

/** Properties of the model of an upstream. */
export interface UpstreamModelOptions {
  readonly upstreamId: string;
  readonly availabilityZone: string;
  /** Number of calls that it states to process concurrently. */
  readonly declaredSlots: number;
  /** Number of calls that it processes concurrently. */
  readonly concurrency: number;
  /** Number of calls that may wait for these; further ones are shed. */
  readonly queueLimit: number;
  readonly serviceMs: number;
  /** Whether its answers state its load. */
  readonly statesLoad: boolean;
  /** Factor by which a call takes longer that starts at a time. */
  readonly getSlowdown?: (now: number) => number;
}

interface ModelCall {
  readonly finish: (tookMs: number) => void;
  readonly arrivedAt: number;
}

/** Model of an upstream that processes some calls concurrently, queues some and sheds the rest. */
export class UpstreamModel {
  /** Time that its workers have spent on calls, in milliseconds. */
  public busyMs = 0;
  /** Largest number of calls that it had at once. */
  public maxInFlight = 0;
  public shed = 0;
  private running = 0;
  private readonly waiting: ModelCall[] = [];

  public constructor(
    public readonly options: UpstreamModelOptions,
    private readonly schedule: (delayMs: number, run: () => void) => void,
    private readonly random: () => number,
    private readonly getNow: () => number,
  ) {}

  /** Takes a call and calls `finish` when it is answered; returns false if it sheds the call. */
  public receive(finish: (tookMs: number) => void): boolean {
    const { concurrency, queueLimit } = this.options;
    if (this.running >= concurrency && this.waiting.length >= queueLimit) {
      this.shed += 1;
      return false;
    }
    const call = { finish, arrivedAt: this.getNow() };
    if (this.running < concurrency) {
      this.start(call);
    } else {
      this.waiting.push(call);
    }
    this.maxInFlight = Math.max(this.maxInFlight, this.running + this.waiting.length);
    return true;
  }

  /** Returns the load that it states. */
  public getLoad(): scheduling.StatedLoad | undefined {
    const { declaredSlots, statesLoad, getSlowdown } = this.options;
    return statesLoad
      ? {
          running: this.running,
          waiting: this.waiting.length,
          slots: declaredSlots,
          slowdown: getSlowdown?.(this.getNow()),
        }
      : undefined;
  }

  private start(call: ModelCall): void {
    const { getSlowdown, serviceMs } = this.options;
    const tookMs = serviceMs * (getSlowdown?.(this.getNow()) ?? 1) * (0.9 + 0.2 * this.random());
    this.running += 1;
    this.busyMs += tookMs;
    this.schedule(tookMs, () => {
      this.running -= 1;
      const next = this.waiting.shift();
      if (next !== undefined) {
        this.start(next);
      }
      call.finish(this.getNow() - call.arrivedAt);
    });
  }
}
