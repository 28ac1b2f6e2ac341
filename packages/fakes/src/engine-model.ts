/** What an engine is like; the defaults are those of a mid-sized model on one accelerator. */
export interface EngineShape {
  /** Memory for prompts and outputs, in tokens. */
  readonly tokensTotal: number;
  readonly blockTokens: number;
  readonly maxBatch: number;
  /** Prompt tokens that one step can take in. */
  readonly prefillPerStep: number;
  readonly baseStepMs: number;
  readonly stepMsPerSequence: number;
  readonly stepMsPerThousandContext: number;
  readonly stepMsPerThousandPrefill: number;
  /** Memory that may hold prefixes nobody uses, in tokens. */
  readonly cacheTokens: number;
}

/** An engine of the size that the traces are made for. */
export const DEFAULT_SHAPE: EngineShape = {
  tokensTotal: 65_536,
  blockTokens: 16,
  maxBatch: 128,
  prefillPerStep: 512,
  baseStepMs: 6,
  stepMsPerSequence: 0.06,
  stepMsPerThousandContext: 0.1,
  stepMsPerThousandPrefill: 20,
  cacheTokens: 8_192,
};

/** Work for the engine; its true length is known to nobody else. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Smaller is more urgent. */
  readonly priority: number;
  readonly prefix: string;
  readonly prefixTokens: number;
  readonly onToken: (offset: number) => void;
  readonly onEnd: () => void;
  readonly onPreempt?: () => void;
}

interface Sequence {
  readonly job: EngineJob;
  readonly order: number;
  produced: number;
  /** Tokens whose state is in memory. */
  held: number;
  /** Tokens that must be taken in before the next is produced. */
  toPrefill: number;
  isRunning: boolean;
}

/** A step's work, for whoever moves time. */
export interface EngineStep {
  readonly durationMs: number;
  /** Delivers the step's tokens; to be called when its time is over. */
  readonly finish: () => void;
}

/** A model of an engine that batches continuously, without time of its own. */
export class EngineModel {
  /** Told of each prefix that is stored or dropped. */
  public onCacheChange: (prefix: string, isStored: boolean) => void = () => {};
  public preemptions = 0;
  public produced = 0;
  public readonly shape: EngineShape;
  /** In order of urgency. */
  private running: Sequence[] = [];
  private used = 0;
  private cached = 0;
  private waiting: Sequence[] = [];
  private readonly cache = new Map<string, number>();
  private order = 0;
  private speed = 1;

  public constructor(shape: Partial<EngineShape> = {}) {
    this.shape = { ...DEFAULT_SHAPE, ...shape };
  }

  /** Takes in a job. */
  public submit(job: EngineJob): void {
    this.order += 1;
    this.enqueue({
      job,
      order: this.order,
      produced: 0,
      held: 0,
      toPrefill: job.promptTokens,
      isRunning: false,
    });
  }

  /** Takes a job out; false when it is not there. */
  public cancel(id: string): boolean {
    const running = this.running.find((item) => item.job.id === id);
    if (running !== undefined) {
      this.leave(running);
      return true;
    }
    const before = this.waiting.length;
    this.waiting = this.waiting.filter((item) => item.job.id !== id);
    return this.waiting.length < before;
  }

  /** Makes every step slower, as a throttled accelerator does. */
  public slowDown(factor: number): void {
    this.speed = factor;
  }

  /** Whether there is nothing to do. */
  public isIdle(): boolean {
    return this.running.length + this.waiting.length === 0;
  }

  /** Memory in use, in tokens, whole blocks. */
  public getUsed(): number {
    return this.used;
  }

  /** Counts for the load report. */
  public getCounts(): { running: number; waiting: number } {
    return { running: this.running.length, waiting: this.waiting.length };
  }

  /** Plans the next step: admits, prefills, preempts when memory is full. */
  public step(): EngineStep {
    this.admit();
    let prefillLeft = this.shape.prefillPerStep;
    let prefilled = 0;
    const producing: Sequence[] = [];
    for (const sequence of [...this.running]) {
      if (!sequence.isRunning) {
        continue;
      }
      if (sequence.toPrefill > 0) {
        const part = Math.min(prefillLeft, sequence.toPrefill);
        sequence.toPrefill -= part;
        prefillLeft -= part;
        prefilled += part;
        if (sequence.toPrefill > 0) {
          continue;
        }
      }
      if (this.reserveOne(sequence)) {
        producing.push(sequence);
      }
    }
    const alive = producing.filter((item) => item.isRunning);
    return {
      durationMs: this.getDuration(prefilled),
      finish: () => alive.forEach((item) => this.produce(item)),
    };
  }

  private getDuration(prefilled: number): number {
    return (
      this.speed *
      (this.shape.baseStepMs +
        this.shape.stepMsPerSequence * this.running.length +
        (this.shape.stepMsPerThousandContext * this.used) / 1_000 +
        (this.shape.stepMsPerThousandPrefill * prefilled) / 1_000)
    );
  }

  private produce(sequence: Sequence): void {
    if (!sequence.isRunning) {
      return;
    }
    sequence.produced += 1;
    this.produced += 1;
    sequence.job.onToken(sequence.produced - 1);
    if (sequence.produced >= sequence.job.outputTokens) {
      this.leave(sequence);
      this.keepPrefix(sequence.job);
      sequence.job.onEnd();
    }
  }

  private admit(): void {
    while (this.running.length < this.shape.maxBatch) {
      const next = this.waiting[0];
      if (next === undefined) {
        return;
      }
      const size = next.job.promptTokens + next.produced;
      const fits = this.makeRoom(this.roundUp(size) + this.shape.blockTokens);
      if (!fits && this.running.length > 0) {
        return;
      }
      this.waiting.shift();
      const isCached = next.produced === 0 && this.cache.has(next.job.prefix);
      next.toPrefill = Math.max(size - (isCached ? next.job.prefixTokens : 0), 1);
      this.hold(next, size);
      next.isRunning = true;
      insertByUrgency(this.running, next);
    }
  }

  /** Makes room for one more token of a sequence; false when it was itself the one to give way. */
  private reserveOne(sequence: Sequence): boolean {
    const grown = this.roundUp(sequence.held + 1) - this.roundUp(sequence.held);
    while (grown > 0 && !this.makeRoom(grown)) {
      const victim = this.running.at(-1)!;
      if (this.running.length === 1) {
        break;
      }
      this.preempt(victim);
      if (victim === sequence) {
        return false;
      }
    }
    this.hold(sequence, sequence.held + 1);
    return true;
  }

  private preempt(victim: Sequence): void {
    this.preemptions += 1;
    this.leave(victim);
    victim.job.onPreempt?.();
    this.enqueue(victim);
  }

  private leave(sequence: Sequence): void {
    this.running = this.running.filter((item) => item !== sequence);
    sequence.isRunning = false;
    this.hold(sequence, 0);
  }

  private hold(sequence: Sequence, tokens: number): void {
    this.used += this.roundUp(tokens) - this.roundUp(sequence.held);
    sequence.held = tokens;
  }

  private makeRoom(tokens: number): boolean {
    while (this.cache.size > 0 && this.used + this.cached + tokens > this.shape.tokensTotal) {
      this.dropOldestPrefix();
    }
    return this.used + tokens <= this.shape.tokensTotal;
  }

  private keepPrefix(job: EngineJob): void {
    if (job.prefix === '' || job.prefixTokens === 0) {
      return;
    }
    if (!this.cache.has(job.prefix)) {
      this.onCacheChange(job.prefix, true);
    }
    this.cached += job.prefixTokens - (this.cache.get(job.prefix) ?? 0);
    this.cache.delete(job.prefix);
    this.cache.set(job.prefix, job.prefixTokens);
    while (this.cached > this.shape.cacheTokens) {
      this.dropOldestPrefix();
    }
  }

  private dropOldestPrefix(): void {
    const oldest = this.cache.keys().next().value as string;
    this.cached -= this.cache.get(oldest) ?? 0;
    this.cache.delete(oldest);
    this.onCacheChange(oldest, false);
  }

  /** The prefixes that are cached now. */
  public listCached(): string[] {
    return [...this.cache.keys()];
  }

  private roundUp(tokens: number): number {
    return Math.ceil(tokens / this.shape.blockTokens) * this.shape.blockTokens;
  }

  private enqueue(sequence: Sequence): void {
    insertByUrgency(this.waiting, sequence);
  }
}

function insertByUrgency(list: Sequence[], sequence: Sequence): void {
  let at = list.length;
  while (at > 0 && compareUrgency(list[at - 1]!, sequence) > 0) {
    at -= 1;
  }
  list.splice(at, 0, sequence);
}

function compareUrgency(a: Sequence, b: Sequence): number {
  return a.job.priority - b.job.priority || a.order - b.order;
}
