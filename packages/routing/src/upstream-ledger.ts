import type * as schemas from '@bramleyridge/schemas';

import type * as liveGenerations from './live-generation.js';
import * as forecasts from './memory-forecast.js';

/** How long the account's own past is kept to compare late reports with, in milliseconds. */
const HISTORY_MS = 10_000;

/** What is left of the peak of interactive work after each look at it, ten times a second. */
const PEAK_DECAY = 0.997;

/** How much a new measure of speed weighs against the former ones. */
const SPEED_WEIGHT = 0.2;

/** The account of one upstream: what runs there, what it reported, how it is expected to fill. */
export class UpstreamLedger {
  public readonly generations = new Map<string, liveGenerations.LiveGeneration>();
  public isLeaving = false;
  public report: schemas.LoadReport | undefined;
  /** Tokens a second and generation, smoothed; 0 while unknown. */
  public tokensPerS = 0;
  private readonly forecast = new forecasts.MemoryForecast();
  private history: { readonly at: number; readonly held: number }[] = [];
  private unaccounted = 0;
  private interactivePeak = 0;
  private interactiveHeld = 0;

  public constructor(
    public readonly upstreamId: string,
    private readonly assumedTokens: number,
  ) {}

  /** The memory that may be filled, in tokens. */
  public getCapacity(): number {
    const total = Math.min(this.report?.tokensTotal ?? Infinity, this.assumedTokens);
    return Math.max(total - this.unaccounted, 1);
  }

  /** Adds a generation to the account. */
  public add(generation: liveGenerations.LiveGeneration): void {
    this.generations.set(generation.facts.generation, generation);
    this.forecast.add(generation.facts.generation, new forecasts.ExpectedMemory(generation));
    this.interactiveHeld += getInteractiveTokens(generation);
  }

  /** Takes a generation off the account. */
  public remove(generation: string): liveGenerations.LiveGeneration | undefined {
    const known = this.generations.get(generation);
    if (known !== undefined) {
      this.generations.delete(generation);
      this.forecast.remove(generation);
      this.interactiveHeld = Math.max(0, this.interactiveHeld - getInteractiveTokens(known));
    }
    return known;
  }

  /**
   * Works the forecast out anew. Progress is told in batches and late; between two batches the generations
   * of an engine grow by a few per cent of its memory, so what they probably have by now is counted.
   */
  public rebuild(now: number): void {
    this.interactiveHeld = 0;
    this.forecast.rebuild((id) => {
      const generation = this.generations.get(id)!;
      this.interactiveHeld += getInteractiveTokens(generation);
      return generation.estimateTokens(now, this.tokensPerS);
    });
  }

  /**
   * Takes a report. It tells of a moment that is past, so only what it shows beyond this account's own
   * view of that moment counts: work of daemons that decided alone, or of a former owner.
   */
  public applyReport(report: schemas.LoadReport, now: number): void {
    if (this.report !== undefined && report.at <= this.report.at) {
      return;
    }
    this.report = report;
    this.isLeaving ||= report.state === 'leaving';
    this.unaccounted = Math.max(0, report.tokensUsed - this.getMostHeldSince(now - report.ageMs));
  }

  /** Keeps what is held now, for reports to come. */
  public recordSample(now: number): void {
    this.interactivePeak = Math.max(this.interactiveHeld, this.interactivePeak * PEAK_DECAY);
    this.history = this.history.filter((sample) => now - sample.at < HISTORY_MS);
    this.history.push({ at: now, held: this.forecast.getMeanTokens() });
  }

  /** Notes how fast its generations moved on. */
  public recordSpeed(tokensPerSecond: number): void {
    this.tokensPerS =
      this.tokensPerS === 0
        ? tokensPerSecond
        : this.tokensPerS + SPEED_WEIGHT * (tokensPerSecond - this.tokensPerS);
  }

  /** The forecast share of memory if a generation joins. */
  public getPressure(quantile: number, joining?: forecasts.ExpectedMemory): number {
    return this.forecast.getPressure(this.getCapacity(), quantile, joining);
  }

  /** The share of memory that interactive work holds now. */
  public getInteractiveShare(): number {
    return this.interactiveHeld / this.getCapacity();
  }

  /**
   * The share of memory to keep free for interactive work that is yet to come: what it lately held at most,
   * less what it holds now. Drafts that filled this too would be preempted by the next few checks.
   */
  public getInteractiveReserve(): number {
    const missing = this.interactivePeak - this.interactiveHeld;
    return Math.max(0, missing) / this.getCapacity();
  }

  /** The mean memory in use now, in tokens. */
  public getUsedTokens(): number {
    return this.forecast.getMeanTokens() + this.unaccounted;
  }

  private getMostHeldSince(then: number): number {
    const before = this.history.filter((sample) => sample.at <= then).at(-1);
    const since = this.history.filter((sample) => sample.at > then);
    const held = [before, ...since].map((sample) => sample?.held ?? 0);
    return Math.max(this.forecast.getMeanTokens(), ...held);
  }
}

function getInteractiveTokens({ facts, tokens }: liveGenerations.LiveGeneration): number {
  return facts.workClass === 'interactive' ? facts.promptTokens + tokens : 0;
}
