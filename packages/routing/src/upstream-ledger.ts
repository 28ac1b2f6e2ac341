import * as scheduling from '@bramleyridge/scheduling';
import type * as schemas from '@bramleyridge/schemas';

import type * as liveGenerations from './live-generation.js';
import * as forecasts from './memory-forecast.js';

/**
 * How long past values of the ledger are kept for comparison with late reports, in milliseconds.
 */
const HISTORY_MS = 10_000;

/** Factor applied to the recorded peak of interactive work at each sample, ten times a second. */
const PEAK_DECAY = 0.997;

/** Weight of a new sample in the moving average of the speed. */
const SPEED_WEIGHT = 0.2;

/**
 * The ledger of one upstream: what runs there, what it reported, and the forecast of its memory.
 */
export class UpstreamLedger {
  public readonly generations = new Map<string, liveGenerations.LiveGeneration>();
  public isLeaving = false;
  public report: schemas.LoadReport | undefined;
  /** Tokens per second per generation, smoothed; 0 while unknown. */
  public tokensPerS = 0;
  private readonly forecast = new forecasts.MemoryForecast();
  private history: { readonly at: number; readonly usedTokens: number }[] = [];
  private unaccountedTokens = 0;
  private interactivePeakTokens = 0;
  private interactiveTokens = 0;

  public constructor(
    public readonly upstreamId: string,
    private readonly capacityTokens: number,
    /** How many generations it is sent after some that got no answer. */
    public readonly trials = new scheduling.HostTrials(),
  ) {}

  /** Returns the memory that may be filled, in tokens. */
  public getCapacity(): number {
    const total = Math.min(this.report?.tokensTotal ?? Infinity, this.capacityTokens);
    return Math.max(total - this.unaccountedTokens, 1);
  }

  /** Adds a generation. */
  public add(generation: liveGenerations.LiveGeneration): void {
    this.generations.set(generation.facts.generation, generation);
    this.forecast.add(generation.facts.generation, new forecasts.ExpectedMemory(generation));
    this.interactiveTokens += getInteractiveTokens(generation);
  }

  /** Removes a generation. */
  public remove(generation: string): liveGenerations.LiveGeneration | undefined {
    const removed = this.generations.get(generation);
    if (removed !== undefined) {
      this.generations.delete(generation);
      this.forecast.remove(generation);
      this.interactiveTokens = Math.max(0, this.interactiveTokens - getInteractiveTokens(removed));
    }
    return removed;
  }

  /**
   * Recomputes the forecast. Progress is reported in batches and late; between two batches the
   * generations of an engine grow by a few per cent of its memory, so their estimated current
   * tokens are used.
   */
  public rebuild(now: number): void {
    this.interactiveTokens = 0;
    this.forecast.rebuild((id) => {
      const generation = this.generations.get(id)!;
      this.interactiveTokens += getInteractiveTokens(generation);
      return generation.estimateTokens(now, this.tokensPerS);
    });
  }

  /**
   * Applies a report. It describes a past moment, so only the excess over the highest value of
   * this ledger since then counts: work granted by daemons without a pool owner, or by a former owner.
   */
  public applyReport(report: schemas.LoadReport, now: number): void {
    if (this.report !== undefined && report.at <= this.report.at) {
      return;
    }
    this.report = report;
    this.isLeaving ||= report.state === 'leaving';
    this.unaccountedTokens = Math.max(
      0,
      report.tokensUsed - this.getPeakUseSince(now - report.ageMs),
    );
  }

  /** Records the current memory use for comparison with later reports. */
  public recordSample(now: number): void {
    this.interactivePeakTokens = Math.max(
      this.interactiveTokens,
      this.interactivePeakTokens * PEAK_DECAY,
    );
    this.history = this.history.filter((sample) => now - sample.at < HISTORY_MS);
    this.history.push({ at: now, usedTokens: this.forecast.getMeanTokens() });
  }

  /** Records the speed of the generations. */
  public recordSpeed(tokensPerSecond: number): void {
    this.tokensPerS =
      this.tokensPerS === 0
        ? tokensPerSecond
        : this.tokensPerS + SPEED_WEIGHT * (tokensPerSecond - this.tokensPerS);
  }

  /** Returns the forecast share of memory if a generation joins. */
  public getPressure(quantile: number, joining?: forecasts.ExpectedMemory): number {
    return this.forecast.getPressure(this.getCapacity(), quantile, joining);
  }

  /** Returns the share of memory that interactive work holds now. */
  public getInteractiveShare(): number {
    return this.interactiveTokens / this.getCapacity();
  }

  /**
   * Returns the share of memory to keep free for interactive work that is still to come: its recent
   * peak less what it holds now. Batch work in this memory would be preempted by the next few
   * interactive requests.
   */
  public getInteractiveReserve(): number {
    const missing = this.interactivePeakTokens - this.interactiveTokens;
    return Math.max(0, missing) / this.getCapacity();
  }

  /** Returns the mean memory in use now, in tokens. */
  public getUsedTokens(): number {
    return this.forecast.getMeanTokens() + this.unaccountedTokens;
  }

  private getPeakUseSince(then: number): number {
    const before = this.history.filter((sample) => sample.at <= then).at(-1);
    const since = this.history.filter((sample) => sample.at > then);
    const usedTokens = [before, ...since].map((sample) => sample?.usedTokens ?? 0);
    return Math.max(this.forecast.getMeanTokens(), ...usedTokens);
  }
}

function getInteractiveTokens({ facts, tokens }: liveGenerations.LiveGeneration): number {
  return facts.workClass === 'interactive' ? facts.promptTokens + tokens : 0;
}
