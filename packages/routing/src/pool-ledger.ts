import type * as schemas from '@bramleyridge/schemas';

import * as lengthModels from './length-model.js';
import * as liveGenerations from './live-generation.js';
import type * as types from './types.js';
import * as rooms from './upstream-ledger.js';

/** How long progress of a daemon may be missing before its generations leave the account. */
const SILENT_MS = 10_000;

/** How long after its grant a generation that its daemon does not name is still expected, in milliseconds. */
const FORGOTTEN_MS = 5_000;

/** What an account is made of. */
export interface PoolLedgerOptions {
  readonly clock: schemas.Clock;
  /** Tokens of an engine's memory that the pool's intents may fill. */
  readonly capacityTokens: number;
  /** Where lengths are learned; an oracle may stand in. */
  readonly lengths?: lengthModels.LengthSource;
  /** Told what a team was granted (positive), or granted and did not use (negative). */
  readonly charge: (team: string, cost: number) => void;
}

/** What runs on the engines of a pool, as far as its owner knows, and how their memory will fill. */
export class PoolLedger {
  private readonly rooms = new Map<string, rooms.UpstreamLedger>();
  private readonly lengths: lengthModels.LengthSource;
  private readonly running = new Map<string, number>();
  private readonly heardAt = new Map<string, number>();
  private readonly costs = new Map<string, number>();

  public constructor(private readonly options: PoolLedgerOptions) {
    this.lengths = options.lengths ?? new lengthModels.LengthModel();
  }

  /** Every engine of the pool. */
  public listUpstreams(): rooms.UpstreamLedger[] {
    return [...this.rooms.values()];
  }

  /** How many generations of a team run. */
  public countRunning(team: string): number {
    return this.running.get(team) ?? 0;
  }

  /** Sets which upstreams there are; gives those that are gone. */
  public setUpstreams(upstreams: readonly { upstreamId: string; isLeaving: boolean }[]): string[] {
    const ids = new Set(upstreams.map((item) => item.upstreamId));
    const gone = [...this.rooms.keys()].filter((id) => !ids.has(id));
    gone.forEach((id) => this.dropUpstream(id));
    upstreams.forEach(({ upstreamId, isLeaving }) => {
      const known = this.rooms.get(upstreamId);
      const room = known ?? new rooms.UpstreamLedger(upstreamId, this.options.capacityTokens);
      room.isLeaving = isLeaving;
      this.rooms.set(upstreamId, room);
    });
    return gone;
  }

  /** Notes the first sign that an upstream is leaving, whoever saw it. */
  public markLeaving(upstreamId: string): void {
    const room = this.rooms.get(upstreamId);
    if (room !== undefined) {
      room.isLeaving = true;
    }
  }

  /** Takes an upstream's load report. */
  public applyReport(upstreamId: string, report: schemas.LoadReport): void {
    this.rooms.get(upstreamId)?.applyReport(report, this.options.clock.now());
  }

  /** What a request is expected to cost its team, in tokens. */
  public getCost(req: types.GrantRequest): number {
    const distribution = this.lengths.get(req.team, req.workClass);
    return req.promptTokens + distribution.getMeanRemaining(0, req.maxTokens);
  }

  /** Adds a generation that was granted. */
  public admit(room: rooms.UpstreamLedger, facts: types.RunningGeneration, cost: number): void {
    const now = this.options.clock.now();
    room.add(this.createGeneration(facts));
    this.running.set(facts.team, this.countRunning(facts.team) + 1);
    this.costs.set(facts.generation, cost);
    this.heardAt.set(facts.daemonId, this.heardAt.get(facts.daemonId) ?? now);
    this.options.charge(facts.team, cost);
  }

  /** Learns a generation that a former owner granted, or a daemon alone. */
  public register(facts: types.RunningGeneration): void {
    const room = this.rooms.get(facts.upstreamId);
    if (room === undefined || room.generations.has(facts.generation)) {
      return;
    }
    this.heardAt.set(facts.daemonId, this.options.clock.now());
    this.admit(room, facts, facts.promptTokens);
  }

  /** Takes the tokens so far of all generations of a daemon. */
  public applyProgress(batch: types.ProgressBatch): void {
    const now = this.options.clock.now();
    const sinceMs = now - (this.heardAt.get(batch.daemonId) ?? now);
    this.heardAt.set(batch.daemonId, now);
    const tokens = new Map(batch.tokens);
    this.rooms.forEach((room) => {
      const moved = [...room.generations.values()].filter((item) =>
        tokens.has(item.facts.generation),
      );
      let gained = 0;
      moved.forEach((item) => {
        const before = item.tokens;
        item.advance(tokens.get(item.facts.generation) ?? 0, now);
        gained += item.tokens - before;
      });
      if (moved.length > 0 && sinceMs > 0) {
        room.recordSpeed((gained * 1_000) / (sinceMs * moved.length));
      }
    });
    this.dropForgotten(batch.daemonId, tokens, now);
  }

  /** Takes a generation off the account; false when it is not there. */
  public finish(generation: string, tokens: number, isNatural: boolean): boolean {
    const room = this.listUpstreams().find((item) => item.generations.has(generation));
    const now = this.options.clock.now();
    const live = room?.remove(generation);
    if (live === undefined) {
      return false;
    }
    live.end(tokens, isNatural, now);
    const { team, promptTokens } = live.facts;
    this.running.set(team, this.countRunning(team) - 1);
    this.options.charge(team, promptTokens + tokens - (this.costs.get(generation) ?? 0));
    this.costs.delete(generation);
    return true;
  }

  /** Brings the forecasts up to date, and drops what belongs to daemons that are gone. */
  public refresh(): void {
    this.dropSilentDaemons();
    const now = this.options.clock.now();
    this.rooms.forEach((room) => {
      room.rebuild(now);
      room.recordSample(now);
    });
  }

  /** A generation as the forecasts see it. */
  public createGeneration(facts: types.RunningGeneration): liveGenerations.LiveGeneration {
    const distribution = this.lengths.get(facts.team, facts.workClass);
    return new liveGenerations.LiveGeneration(facts, distribution, this.options.clock.now());
  }

  private dropUpstream(upstreamId: string): void {
    const room = this.rooms.get(upstreamId);
    room?.generations.forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    this.rooms.delete(upstreamId);
  }

  /** A message that told of an end may be lost; the generation would hold room for ever. */
  private dropForgotten(daemonId: string, told: ReadonlyMap<string, number>, now: number): void {
    this.rooms.forEach((room) => {
      [...room.generations.values()]
        .filter((item) => item.facts.daemonId === daemonId && !told.has(item.facts.generation))
        .filter((item) => now - item.grantedAt > FORGOTTEN_MS)
        .forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    });
  }

  private dropSilentDaemons(): void {
    const now = this.options.clock.now();
    const silent = new Set(
      [...this.heardAt].filter(([, at]) => now - at > SILENT_MS).map(([daemonId]) => daemonId),
    );
    if (silent.size === 0) {
      return;
    }
    silent.forEach((daemonId) => this.heardAt.delete(daemonId));
    this.rooms.forEach((room) => {
      [...room.generations.values()]
        .filter((item) => silent.has(item.facts.daemonId))
        .forEach((item) => this.finish(item.facts.generation, item.tokens, false));
    });
  }
}
