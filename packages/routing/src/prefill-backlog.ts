/**
 * Prefill rate assumed before any observation, in tokens per millisecond: chunks of 112 tokens
 * every 16 ms.
 */
const INITIAL_TOKENS_PER_MS = 7;

/** Weight of one observation in the moving average of the rate. */
const LEARNING_RATE = 0.1;

/**
 * Range of plausible rates, in tokens per millisecond; outside of it the first event was reported
 * late.
 */
const MIN_TOKENS_PER_MS = 1;
const MAX_TOKENS_PER_MS = 50;

/**
 * Multiple of the expected prefill time after which a prompt counts as complete even if no first
 * event was reported.
 */
const TIMEOUT_FACTOR = 4;

/** The prefill rate of the engines of one pool, learned from the first events of generations. */
export class PrefillRate {
  private tokensPerMs = INITIAL_TOKENS_PER_MS;

  /** Records a prefill that took so many milliseconds. */
  public observe(tokens: number, ms: number): void {
    const observed = tokens / Math.max(1, ms);
    if (observed >= MIN_TOKENS_PER_MS && observed <= MAX_TOKENS_PER_MS) {
      this.tokensPerMs += (observed - this.tokensPerMs) * LEARNING_RATE;
    }
  }

  /** Returns the expected prefill time of so many tokens, in milliseconds. */
  public getMs(tokens: number): number {
    return tokens / this.tokensPerMs;
  }
}

interface PendingPrompt {
  readonly tokens: number;
  /** Whether no other prompt was pending on the engine at any time since it was added. */
  isAlone: boolean;
}

/** A prefill that is complete. */
export interface CompletedPrefill {
  readonly expectedMs: number;
  readonly tookMs: number;
  /** Whether the engine had no other prompt meanwhile, so that the time shows its speed. */
  readonly wasAlone: boolean;
}

/**
 * The prompts placed on one engine that have not produced an event yet. The engine processes them
 * one after the other, so their sum gives the wait of the next prompt; if it is long, that prompt's
 * first event will be late there.
 */
export class PrefillBacklog {
  private readonly pending = new Map<string, PendingPrompt>();
  /** Total tokens of these prompts. */
  private pendingTokens = 0;
  /** Time since which the prompt at the head is being processed. */
  private headSince = 0;
  /** Total time for which prompts were pending before `headSince`, in milliseconds. */
  private pastBusyMs = 0;

  public constructor(private readonly rate: PrefillRate) {}

  /** Whether no prompt is pending. */
  public get isEmpty(): boolean {
    return this.pending.size === 0;
  }

  /** Adds a prompt that was sent to the engine. */
  public add(callId: string, tokens: number, now: number): void {
    if (this.pending.size === 0) {
      this.headSince = now;
    }
    this.pendingTokens += tokens - (this.pending.get(callId)?.tokens ?? 0);
    this.pending.forEach((prompt) => {
      prompt.isAlone = false;
    });
    this.pending.set(callId, { tokens, isAlone: this.pending.size === 0 });
  }

  /**
   * Records the first event of a generation, which shows that its prefill is complete; the time it
   * took gives the rate. `getSlowness` returns how many times as long as usual a prefill since a
   * time took on this engine. Returns the prefill, unless other prompts were processed before it.
   */
  public recordFirstEvent(
    callId: string,
    now: number,
    getSlowness: (since: number) => number = () => 1,
  ): CompletedPrefill | undefined {
    const prompt = this.pending.get(callId);
    if (prompt === undefined) {
      return undefined;
    }
    const tookMs = now - this.headSince;
    const expectedMs = this.rate.getMs(prompt.tokens);
    const isHead = this.isHead(callId);
    if (isHead) {
      this.rate.observe(prompt.tokens, tookMs / getSlowness(this.headSince));
    }
    this.remove(callId, now);
    return isHead ? { expectedMs, tookMs, wasAlone: prompt.isAlone } : undefined;
  }

  /** Returns the total time for which prompts were pending until now, in milliseconds. */
  public getBusyMs(now: number): number {
    return this.pastBusyMs + (this.pending.size === 0 ? 0 : now - this.headSince);
  }

  /** Removes a prompt, whatever its outcome. */
  public remove(callId: string, now: number): void {
    const prompt = this.pending.get(callId);
    if (prompt === undefined) {
      return;
    }
    // Prompts placed before it without a reported first event were overtaken, or will be reported
    // in a moment.
    if (this.isHead(callId)) {
      this.pastBusyMs += now - this.headSince;
      this.headSince = now;
    }
    this.pending.delete(callId);
    this.pendingTokens -= prompt.tokens;
  }

  /**
   * Returns the time that a new prompt waits until its prefill starts, in milliseconds, if prefills
   * take so many times as long as usual.
   */
  public getMs(now: number, slowness = 1): number {
    if (this.pending.size === 0) {
      return 0;
    }
    this.dropTimedOut(now, slowness);
    const [head] = this.pending.values();
    if (head === undefined) {
      return 0;
    }
    const headMs = this.rate.getMs(head.tokens) * slowness;
    return this.rate.getMs(this.pendingTokens) * slowness - Math.min(headMs, now - this.headSince);
  }

  private isHead(callId: string): boolean {
    const [head] = this.pending.keys();
    return head === callId;
  }

  /**
   * Drops the prompt at the head if its prefill has timed out. A host that crashed or is partitioned
   * reports nothing, and its prompts must not block the engine.
   */
  private dropTimedOut(now: number, slowness: number): void {
    const [entry] = this.pending.entries();
    if (entry === undefined) {
      return;
    }
    const [callId, { tokens }] = entry;
    if (now - this.headSince > this.rate.getMs(tokens) * slowness * TIMEOUT_FACTOR) {
      this.remove(callId, now);
    }
  }
}
