/** Capacity and step costs of an engine; the defaults are those of a mid-sized model on one accelerator. */
export interface EngineShape {
  /** KV-cache memory for prompts and outputs, in tokens. */
  readonly tokensTotal: number;
  readonly blockTokens: number;
  readonly maxBatch: number;
  /** Maximum number of prompt tokens that one step prefills. */
  readonly prefillPerStep: number;
  readonly baseStepMs: number;
  readonly stepMsPerSequence: number;
  readonly stepMsPerThousandContext: number;
  readonly stepMsPerThousandPrefill: number;
  /** Maximum memory for cached prefixes that no running sequence uses, in tokens. */
  readonly cacheTokens: number;
}

/** The engine size for which the traces are generated. */
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

/** One generation to run. Only the engine has its actual output length. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Jobs with smaller values run first. */
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
  /** Tokens whose KV cache is in memory. */
  held: number;
  /** Tokens to prefill before the next token is produced. */
  toPrefill: number;
  isRunning: boolean;
}

/** One step of the engine, to be run by the caller that advances time. */
export interface EngineStep {
  readonly durationMs: number;
  /** Delivers the step's tokens; call it after `durationMs`. */
  readonly finish: () => void;
}

/** Model of an engine with continuous batching; it has no clock of its own. */
export class EngineModel {
  /** Called for each prefix that is stored in the cache or evicted from it. */
  public onCacheChange: (prefix: string, isStored: boolean) => void = () => {};
  public preemptions = 0;
  public produced = 0;
  public readonly shape: EngineShape;
  /** Sorted by priority, then by order of submission. */
  private running: Sequence[] = [];
  private usedTokens = 0;
  private cachedTokens = 0;
  private waiting: Sequence[] = [];
  private readonly cache = new Map<string, number>();
  private lastOrder = 0;
  private slowdownFactor = 1;

  public constructor(shape: Partial<EngineShape> = {}) {
    this.shape = { ...DEFAULT_SHAPE, ...shape };
  }

  /** Adds a job to the queue. */
  public submit(job: EngineJob): void {
    this.lastOrder += 1;
    this.enqueue({
      job,
      order: this.lastOrder,
      produced: 0,
      held: 0,
      toPrefill: job.promptTokens,
      isRunning: false,
    });
  }

  /** Removes a job; returns false when there is no such job. */
  public cancel(id: string): boolean {
    const running = this.running.find((item) => item.job.id === id);
    if (running !== undefined) {
      this.stopRunning(running);
      return true;
    }
    const previousLength = this.waiting.length;
    this.waiting = this.waiting.filter((item) => item.job.id !== id);
    return this.waiting.length < previousLength;
  }

  /** Multiplies the duration of every step, as on a throttled accelerator. */
  public slowDown(factor: number): void {
    this.slowdownFactor = factor;
  }

  /** Returns whether no job is running or waiting. */
  public isIdle(): boolean {
    return this.running.length + this.waiting.length === 0;
  }

  /** Returns the memory in use in tokens, rounded up to whole blocks for each sequence. */
  public getUsed(): number {
    return this.usedTokens;
  }

  /** Returns the numbers of running and waiting jobs for the load report. */
  public getCounts(): { running: number; waiting: number } {
    return { running: this.running.length, waiting: this.waiting.length };
  }

  /** Prepares the next step: admits and prefills jobs, and preempts others when memory is full. */
  public step(): EngineStep {
    this.admit();
    let prefillBudget = this.shape.prefillPerStep;
    let prefilled = 0;
    const producing: Sequence[] = [];
    for (const sequence of [...this.running]) {
      if (!sequence.isRunning) {
        continue;
      }
      if (sequence.toPrefill > 0) {
        const chunk = Math.min(prefillBudget, sequence.toPrefill);
        sequence.toPrefill -= chunk;
        prefillBudget -= chunk;
        prefilled += chunk;
        if (sequence.toPrefill > 0) {
          continue;
        }
      }
      if (this.reserveToken(sequence)) {
        producing.push(sequence);
      }
    }
    const active = producing.filter((item) => item.isRunning);
    return {
      durationMs: this.getDuration(prefilled),
      finish: () => active.forEach((item) => this.produce(item)),
    };
  }

  private getDuration(prefilled: number): number {
    return (
      this.slowdownFactor *
      (this.shape.baseStepMs +
        this.shape.stepMsPerSequence * this.running.length +
        (this.shape.stepMsPerThousandContext * this.usedTokens) / 1_000 +
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
      this.stopRunning(sequence);
      this.cachePrefix(sequence.job);
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
      const fits = this.freeMemory(this.roundUp(size) + this.shape.blockTokens);
      if (!fits && this.running.length > 0) {
        return;
      }
      this.waiting.shift();
      const isCached = next.produced === 0 && this.cache.has(next.job.prefix);
      next.toPrefill = Math.max(size - (isCached ? next.job.prefixTokens : 0), 1);
      this.setHeldTokens(next, size);
      next.isRunning = true;
      insertByPriority(this.running, next);
    }
  }

  /** Reserves memory for one more token of a sequence; returns false when the sequence itself was preempted for it. */
  private reserveToken(sequence: Sequence): boolean {
    const neededTokens = this.roundUp(sequence.held + 1) - this.roundUp(sequence.held);
    while (neededTokens > 0 && !this.freeMemory(neededTokens)) {
      const victim = this.running.at(-1)!;
      if (this.running.length === 1) {
        break;
      }
      this.preempt(victim);
      if (victim === sequence) {
        return false;
      }
    }
    this.setHeldTokens(sequence, sequence.held + 1);
    return true;
  }

  private preempt(victim: Sequence): void {
    this.preemptions += 1;
    this.stopRunning(victim);
    victim.job.onPreempt?.();
    this.enqueue(victim);
  }

  private stopRunning(sequence: Sequence): void {
    this.running = this.running.filter((item) => item !== sequence);
    sequence.isRunning = false;
    this.setHeldTokens(sequence, 0);
  }

  private setHeldTokens(sequence: Sequence, tokens: number): void {
    this.usedTokens += this.roundUp(tokens) - this.roundUp(sequence.held);
    sequence.held = tokens;
  }

  private freeMemory(tokens: number): boolean {
    while (
      this.cache.size > 0 &&
      this.usedTokens + this.cachedTokens + tokens > this.shape.tokensTotal
    ) {
      this.evictOldestPrefix();
    }
    return this.usedTokens + tokens <= this.shape.tokensTotal;
  }

  private cachePrefix(job: EngineJob): void {
    if (job.prefix === '' || job.prefixTokens === 0) {
      return;
    }
    if (!this.cache.has(job.prefix)) {
      this.onCacheChange(job.prefix, true);
    }
    this.cachedTokens += job.prefixTokens - (this.cache.get(job.prefix) ?? 0);
    this.cache.delete(job.prefix);
    this.cache.set(job.prefix, job.prefixTokens);
    while (this.cachedTokens > this.shape.cacheTokens) {
      this.evictOldestPrefix();
    }
  }

  private evictOldestPrefix(): void {
    const oldest = this.cache.keys().next().value as string;
    this.cachedTokens -= this.cache.get(oldest) ?? 0;
    this.cache.delete(oldest);
    this.onCacheChange(oldest, false);
  }

  /** Lists the cached prefixes in the order in which they were last stored. */
  public listCached(): string[] {
    return [...this.cache.keys()];
  }

  private roundUp(tokens: number): number {
    return Math.ceil(tokens / this.shape.blockTokens) * this.shape.blockTokens;
  }

  private enqueue(sequence: Sequence): void {
    insertByPriority(this.waiting, sequence);
  }
}

function insertByPriority(list: Sequence[], sequence: Sequence): void {
  let at = list.length;
  while (at > 0 && comparePriority(list[at - 1]!, sequence) > 0) {
    at -= 1;
  }
  list.splice(at, 0, sequence);
}

function comparePriority(a: Sequence, b: Sequence): number {
  return a.job.priority - b.job.priority || a.order - b.order;
}
