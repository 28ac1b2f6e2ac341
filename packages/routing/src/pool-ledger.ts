import * as scheduling from '@bramleyridge/scheduling';
import type * as schemas from '@bramleyridge/schemas';

import * as lengthModels from './length-model.js';
import * as liveGenerations from './live-generation.js';
import type * as types from './types.js';
import * as upstreamLedgers from './upstream-ledger.js';

/**
 * Time without progress reports from a daemon after which its generations are removed, in
 * milliseconds.
 */
const REPORT_TIMEOUT_MS = 10_000;

/**
 * Time after its grant during which a generation may be missing from its daemon's reports, in
 * milliseconds.
 */
const UNREPORTED_GRACE_MS = 5_000;

/** Options of a pool ledger. */
export interface PoolLedgerOptions {
  readonly clock: schemas.Clock;
  /** Memory per engine that the pool's intents may fill, in tokens. */
  readonly capacityTokens: number;
  /** Source of the length distributions; an oracle may replace the learned ones. */
  readonly lengths?: lengthModels.LengthSource;
  /** Returns the number of daemons that use the pool; by default, several do. */
  readonly countDaemons?: () => number;
  /** Called with the cost granted to a team (positive), or granted and not used (negative). */
  readonly charge: (team: string, cost: number) => void;
}

/**
 * Tracks what runs on the engines of a pool, as far as the owner knows, and forecasts their memory.
 */
export class PoolLedger {
  private readonly upstreams = new Map<string, upstreamLedgers.UpstreamLedger>();
  private readonly lengths: lengthModels.LengthSource;
  private readonly runningByTeam = new Map<string, number>();
  private readonly reportedAt = new Map<string, number>();
  private readonly costs = new Map<string, number>();

  public constructor(private readonly options: PoolLedgerOptions) {
    this.lengths = options.lengths ?? new lengthModels.LengthModel();
  }

  /** Returns the ledgers of all engines of the pool. */
  public listUpstreams(): upstreamLedgers.UpstreamLedger[] {
    return [...this.upstreams.values()];
  }

  /** Returns the number of running generations of a team. */
  public countRunning(team: string): number {
    return this.runningByTeam.get(team) ?? 0;
  }

  /** Sets the upstreams of the pool. Returns the ids of those that were removed. */
  public setUpstreams(upstreams: readonly { upstreamId: string; isLeaving: boolean }[]): string[] {
    const ids = new Set(upstreams.map((item) => item.upstreamId));
    const removedIds = [...this.upstreams.keys()].filter((id) => !ids.has(id));
    removedIds.forEach((id) => this.removeUpstream(id));
    upstreams.forEach(({ upstreamId, isLeaving }) => {
      const existing = this.upstreams.get(upstreamId);
      const { capacityTokens, countDaemons } = this.options;
      const upstream =
        existing ??
        new upstreamLedgers.UpstreamLedger(
          upstreamId,
          capacityTokens,
          new scheduling.HostTrials(countDaemons),
        );
      upstream.isLeaving = isLeaving;
      this.upstreams.set(upstreamId, upstream);
    });
    return removedIds;
  }

  /** Marks an upstream as leaving, at the first sign from any source. */
  public markLeaving(upstreamId: string): void {
    const upstream = this.upstreams.get(upstreamId);
    if (upstream !== undefined) {
      upstream.isLeaving = true;
    }
  }

  /** Records that a generation of a daemon got no answer at an upstream. */
  public recordUnanswered(upstreamId: string, daemonId: string): void {
    const call = { callId: '', hostId: daemonId };
    this.upstreams.get(upstreamId)?.trials.recordEnd(call, false, this.options.clock.now());
  }

  /** Applies a load report of an upstream. */
  public applyReport(upstreamId: string, report: schemas.LoadReport): void {
    this.upstreams.get(upstreamId)?.applyReport(report, this.options.clock.now());
  }

  /** Returns the expected cost of a request to its team, in tokens. */
  public getCost(req: types.GrantRequest): number {
    const distribution = this.lengths.get(req.team, req.workClass);
    return req.promptTokens + distribution.getMeanRemaining(0, req.maxTokens);
  }

  /** Adds a generation that was granted. */
  public admit(
    upstream: upstreamLedgers.UpstreamLedger,
    facts: types.RunningGeneration,
    cost: number,
  ): void {
    const now = this.options.clock.now();
    upstream.add(this.createGeneration(facts));
    upstream.trials.recordSend({ callId: facts.generation, hostId: facts.daemonId }, now);
    this.runningByTeam.set(facts.team, this.countRunning(facts.team) + 1);
    this.costs.set(facts.generation, cost);
    this.reportedAt.set(facts.daemonId, this.reportedAt.get(facts.daemonId) ?? now);
    this.options.charge(facts.team, cost);
  }

  /** Adds a generation that was granted by a former owner, or by a daemon without one. */
  public register(facts: types.RunningGeneration): void {
    const upstream = this.upstreams.get(facts.upstreamId);
    if (upstream === undefined || upstream.generations.has(facts.generation)) {
      return;
    }
    this.reportedAt.set(facts.daemonId, this.options.clock.now());
    this.admit(upstream, facts, facts.promptTokens);
  }

  /** Applies the token counts that a daemon reports for all its generations. */
  public applyProgress(batch: types.ProgressBatch): void {
    const now = this.options.clock.now();
    const sinceMs = now - (this.reportedAt.get(batch.daemonId) ?? now);
    this.reportedAt.set(batch.daemonId, now);
    const tokens = new Map(batch.tokens);
    this.upstreams.forEach((upstream) => {
      const progressed = [...upstream.generations.values()].filter((item) =>
        tokens.has(item.facts.generation),
      );
      let gained = 0;
      progressed.forEach((item) => {
        const before = item.tokens;
        item.advance(tokens.get(item.facts.generation) ?? 0, now);
        gained += item.tokens - before;
      });
      if (progressed.length > 0 && sinceMs > 0) {
        upstream.recordSpeed((gained * 1_000) / (sinceMs * progressed.length));
      }
    });
    this.removeUnreported(batch.daemonId, tokens, now);
  }

  /** Removes a generation. Returns false if there is no such generation. */
  public finish(generation: string, tokens: number, isNatural: boolean): boolean {
    const upstream = this.listUpstreams().find((item) => item.generations.has(generation));
    const now = this.options.clock.now();
    const live = upstream?.remove(generation);
    if (live === undefined) {
      return false;
    }
    live.end(tokens, isNatural, now);
    const hasAnswered = isNatural || tokens > 0 ? true : undefined;
    upstream?.trials.recordEnd(
      { callId: generation, hostId: live.facts.daemonId },
      hasAnswered,
      now,
    );
    const { team, promptTokens } = live.facts;
    this.runningByTeam.set(team, this.countRunning(team) - 1);
    this.options.charge(team, promptTokens + tokens - (this.costs.get(generation) ?? 0));
    this.costs.delete(generation);
    return true;
  }

  /** Updates the forecasts, and removes the generations of daemons that no longer report. */
  public refresh(): void {
    this.removeSilentDaemons();
    const now = this.options.clock.now();
    this.upstreams.forEach((upstream) => {
      upstream.rebuild(now);
      upstream.recordSample(now);
    });
  }

  /** Creates a generation for the forecasts. */
  public createGeneration(facts: types.RunningGeneration): liveGenerations.LiveGeneration {
    const distribution = this.lengths.get(facts.team, facts.workClass);
    return new liveGenerations.LiveGeneration(facts, distribution, this.options.clock.now());
  }

  private removeUpstream(upstreamId: string): void {
    const upstream = this.upstreams.get(upstreamId);
    upstream?.generations.forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    this.upstreams.delete(upstreamId);
  }

  /**
   * Removes generations that their daemon no longer reports. The message about an end may be lost,
   * and the generation would use capacity forever.
   */
  private removeUnreported(
    daemonId: string,
    reported: ReadonlyMap<string, number>,
    now: number,
  ): void {
    this.upstreams.forEach((upstream) => {
      [...upstream.generations.values()]
        .filter((item) => item.facts.daemonId === daemonId && !reported.has(item.facts.generation))
        .filter((item) => now - item.grantedAt > UNREPORTED_GRACE_MS)
        .forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    });
  }

  private removeSilentDaemons(): void {
    const now = this.options.clock.now();
    const silent = new Set(
      [...this.reportedAt]
        .filter(([, at]) => now - at > REPORT_TIMEOUT_MS)
        .map(([daemonId]) => daemonId),
    );
    if (silent.size === 0) {
      return;
    }
    silent.forEach((daemonId) => this.reportedAt.delete(daemonId));
    this.upstreams.forEach((upstream) => {
      [...upstream.generations.values()]
        .filter((item) => silent.has(item.facts.daemonId))
        .forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    });
  }
}
