import { uniformInt } from 'pure-rand/distribution/uniformInt';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Duration of a step of a usual engine: the base, per run, and for a chunk of a prompt. */
const STEP_MS = 7;
const STEP_MS_PER_RUN = 0.12;
const CHUNK_MS = 8;

/** Prompt tokens read in one step. */
const CHUNK_TOKENS = 112;

/** Tokens in one event. */
const EVENT_TOKENS = 4;

/** Interference from co-located work: its duration and the mean pause between two spells. */
export const SPELL_MS = 600;
export const SPELL_SHARE = 0.15;
const PAUSE_MS = (SPELL_MS * (1 - SPELL_SHARE)) / SPELL_SHARE;

/** A generator of numbers in [0, 1) from a seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, 0x3fffffff) / 0x40000000;
}

/** A generation on a modelled engine. */
export class ModelRun {
  public readTokens = 0;
  public tokens = 0;
  public events = 0;
  public firstEventAt: number | undefined;
  public lastEventAt = 0;
  /** Longest gap between two events on the present engine, and on any engine. */
  public gapMs = 0;
  public longestGapMs = 0;
  /** First event and number of events on the present engine. */
  public startedAt = 0;
  public eventsHere = 0;

  public constructor(
    public readonly callId: string,
    public readonly promptTokens: number,
    public readonly answerTokens: number,
    public readonly arrivedAt: number,
  ) {}

  /** Begins on another engine, to which its memory was copied. */
  public move(): void {
    this.eventsHere = 0;
    this.gapMs = 0;
  }

  /** Records an event; a gap counts between two events of the same engine. */
  public recordEvent(now: number): void {
    this.firstEventAt ??= now;
    if (this.eventsHere === 0) {
      this.startedAt = now;
    } else {
      this.gapMs = Math.max(this.gapMs, now - this.lastEventAt);
      this.longestGapMs = Math.max(this.longestGapMs, this.gapMs);
    }
    this.lastEventAt = now;
    this.events += 1;
    this.eventsHere += 1;
  }

  /** Mean time between two events on the present engine, in milliseconds. */
  public getMsPerEvent(): number {
    return (this.lastEventAt - this.startedAt) / Math.max(1, this.eventsHere - 1);
  }
}

/** What happens on a modelled engine. */
export interface EngineListener {
  onEvent(engine: ModelEngine, run: ModelRun, now: number): void;
  onEnd(engine: ModelEngine, run: ModelRun, now: number): void;
}

/** An engine that works in steps: all runs produce a token, and one prompt is read by a chunk. */
export class ModelEngine {
  public prompts: ModelRun[] = [];
  public runs: ModelRun[] = [];
  private stepEndsAt = 0;
  private spellAt: number;

  public constructor(
    public readonly engineId: string,
    /** Usual time of its steps relative to a usual engine. */
    public readonly factor: number,
    /** How many times as long its steps take during interference; 1 without co-located work. */
    private readonly interference: number,
    private readonly random: () => number,
    now: number,
  ) {
    this.spellAt = now + this.drawPause();
  }

  /** Returns the slowdown that the engine states. */
  public getSlowdown(now: number): number {
    if (now >= this.spellAt + SPELL_MS) {
      this.spellAt += SPELL_MS + this.drawPause();
    }
    return now >= this.spellAt ? this.interference : 1;
  }

  /** Completes the step that ends by now and begins the next one. */
  public advance(now: number, listener: EngineListener): void {
    if (now < this.stepEndsAt) {
      return;
    }
    const [prompt] = this.prompts;
    const runs = [...this.runs];
    if (prompt !== undefined) {
      prompt.readTokens += CHUNK_TOKENS;
      if (prompt.readTokens >= prompt.promptTokens) {
        this.prompts.shift();
        this.runs.push(prompt);
        prompt.recordEvent(now);
        listener.onEvent(this, prompt, now);
      }
    }
    runs.forEach((run) => this.produce(run, now, listener));
    const chunkMs = this.prompts.length > 0 ? CHUNK_MS : 0;
    const usualMs = STEP_MS + this.runs.length * STEP_MS_PER_RUN + chunkMs;
    this.stepEndsAt = now + usualMs * this.factor * this.getSlowdown(now);
  }

  private produce(run: ModelRun, now: number, listener: EngineListener): void {
    run.tokens += 1;
    const isOver = run.tokens >= run.answerTokens;
    if (isOver || run.tokens % EVENT_TOKENS === 0) {
      run.recordEvent(now);
      listener.onEvent(this, run, now);
    }
    if (isOver) {
      this.runs = this.runs.filter((other) => other !== run);
      listener.onEnd(this, run, now);
    }
  }

  private drawPause(): number {
    return PAUSE_MS * (0.5 + this.random());
  }
}
