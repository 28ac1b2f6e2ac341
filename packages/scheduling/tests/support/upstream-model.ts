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
  /** Whether service times are lognormal with a spread of 0.5, and one in 100 takes five times as long. */
  readonly isVaried?: boolean;
  /** Share of the calls that fail, and share of those that take a whole second. */
  readonly failureShare?: number;
  readonly hangShare?: number;
  /** Whether the connections of a host are closed at once at a time. */
  readonly isClosing?: (now: number, hostId: string) => boolean;
}

/** Time that a call takes that hangs, in milliseconds. */
const HANG_MS = 1_000;

interface ModelCall {
  readonly finish: (hasFailed: boolean) => void;
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

  /** Returns whether a call of a host gets no answer now. */
  public isClosing(hostId: string): boolean {
    return this.options.isClosing?.(this.getNow(), hostId) === true;
  }

  /** Takes a call and calls `finish` when it is answered; returns false if it sheds the call. */
  public receive(finish: (hasFailed: boolean) => void): boolean {
    const { concurrency, queueLimit } = this.options;
    if (this.running >= concurrency && this.waiting.length >= queueLimit) {
      this.shed += 1;
      return false;
    }
    const call = { finish };
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
    const { failureShare = 0, getSlowdown, hangShare = 0 } = this.options;
    const isHanging = hangShare > 0 && this.random() < hangShare;
    const hasFailed = isHanging || (failureShare > 0 && this.random() < failureShare);
    const tookMs = isHanging ? HANG_MS : this.drawServiceMs() * (getSlowdown?.(this.getNow()) ?? 1);
    this.running += 1;
    this.busyMs += tookMs;
    this.schedule(tookMs, () => {
      this.running -= 1;
      const next = this.waiting.shift();
      if (next !== undefined) {
        this.start(next);
      }
      call.finish(hasFailed);
    });
  }

  private drawServiceMs(): number {
    const { isVaried = false, serviceMs } = this.options;
    if (!isVaried) {
      return serviceMs * (0.9 + 0.2 * this.random());
    }
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    const tail = this.random() < 0.01 ? 5 : 1;
    return serviceMs * Math.exp(0.5 * normal - 0.125) * tail;
  }
}
