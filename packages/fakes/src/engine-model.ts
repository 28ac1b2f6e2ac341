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
  prefillPerStep: 2_048,
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
}

/** A step's work, for whoever moves time. */
export interface EngineStep {
  readonly durationMs: number;
  /** Delivers the step's tokens; to be called when its time is over. */
  readonly finish: () => void;
}

/** A model of an engine that batches continuously, without time of its own. */
export class EngineModel {
  public preemptions = 0;
  public produced = 0;
  public readonly shape: EngineShape;
  private running: Sequence[] = [];
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
    const sequence = { job, order: this.order, produced: 0, held: 0, toPrefill: job.promptTokens };
    this.waiting.push(sequence);
    this.sortWaiting();
  }

  /** Takes a job out; false when it is not there. */
  public cancel(id: string): boolean {
    const before = this.running.length + this.waiting.length;
    this.running = this.running.filter((item) => item.job.id !== id);
    this.waiting = this.waiting.filter((item) => item.job.id !== id);
    return this.running.length + this.waiting.length < before;
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
    return this.running.reduce((sum, item) => sum + this.roundUp(item.held), 0);
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
    for (const sequence of [...this.running].sort(compareUrgency)) {
      if (!this.running.includes(sequence)) {
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
    const alive = producing.filter((item) => this.running.includes(item));
    return {
      durationMs: this.getDuration(prefilled),
      finish: () => alive.forEach((item) => this.produce(item)),
    };
  }

  private getDuration(prefilled: number): number {
    const context = this.running.reduce((sum, item) => sum + item.held, 0);
    return (
      this.speed *
      (this.shape.baseStepMs +
        this.shape.stepMsPerSequence * this.running.length +
        (this.shape.stepMsPerThousandContext * context) / 1_000 +
        (this.shape.stepMsPerThousandPrefill * prefilled) / 1_000)
    );
  }

  private produce(sequence: Sequence): void {
    if (!this.running.includes(sequence)) {
      return;
    }
    sequence.produced += 1;
    this.produced += 1;
    sequence.job.onToken(sequence.produced - 1);
    if (sequence.produced >= sequence.job.outputTokens) {
      this.running = this.running.filter((item) => item !== sequence);
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
      next.held = size;
      this.running.push(next);
    }
  }

  /** Makes room for one more token of a sequence; false when it was itself the one to give way. */
  private reserveOne(sequence: Sequence): boolean {
    const grown = this.roundUp(sequence.held + 1) - this.roundUp(sequence.held);
    while (grown > 0 && !this.makeRoom(grown)) {
      const victim = [...this.running].sort(compareUrgency).at(-1)!;
      if (this.running.length === 1) {
        break;
      }
      this.preempt(victim);
      if (victim === sequence) {
        return false;
      }
    }
    sequence.held += 1;
    return true;
  }

  private preempt(victim: Sequence): void {
    this.preemptions += 1;
    this.running = this.running.filter((item) => item !== victim);
    victim.held = 0;
    victim.job.onPreempt?.();
    this.waiting.push(victim);
    this.sortWaiting();
  }

  private makeRoom(tokens: number): boolean {
    const used = this.getUsed();
    while (this.cache.size > 0 && used + this.getCached() + tokens > this.shape.tokensTotal) {
      this.cache.delete(this.cache.keys().next().value as string);
    }
    return used + tokens <= this.shape.tokensTotal;
  }

  private keepPrefix(job: EngineJob): void {
    if (job.prefix === '' || job.prefixTokens === 0) {
      return;
    }
    this.cache.delete(job.prefix);
    this.cache.set(job.prefix, job.prefixTokens);
    while (this.getCached() > this.shape.cacheTokens) {
      this.cache.delete(this.cache.keys().next().value as string);
    }
  }

  /** The prefixes that are cached now. */
  public listCached(): string[] {
    return [...this.cache.keys()];
  }

  private getCached(): number {
    return [...this.cache.values()].reduce((sum, tokens) => sum + tokens, 0);
  }

  private roundUp(tokens: number): number {
    return Math.ceil(tokens / this.shape.blockTokens) * this.shape.blockTokens;
  }

  private sortWaiting(): void {
    this.waiting.sort(compareUrgency);
  }
}

function compareUrgency(a: Sequence, b: Sequence): number {
  return a.job.priority - b.job.priority || a.order - b.order;
}
