import type * as members from '@bramleyridge/members';
import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as peerRouters from './peer-router.js';

/** How often waiting requests and silent daemons are looked at, in milliseconds. */
const TICK_MS = 100;

/** How long one ask may wait before it is answered `pending`, in milliseconds. */
const SLICE_MS = 1_000;

/** After how long without being asked again a waiting request is withdrawn, in milliseconds. */
const ABANDONED_MS = 4_000;

/** Every how many rounds an upstream that does not serve the pool's model is asked again. */
const DISCOVERY_ROUNDS = 4;

/** Lost reports in a row after which an upstream gets nothing new. */
const MAX_LOST_REPORTS = 4;

/** How long an upstream that refused gets nothing new, in milliseconds. */
const SHUN_MS = 5_000;

interface Ticket {
  decision: routing.GrantDecision | undefined;
  askedAt: number;
  readonly changed: schemas.ChangeSignal;
}

interface Pool {
  readonly owner: routing.PoolOwner;
  readonly tickets: Map<string, Ticket>;
  readonly serving: Map<string, readonly string[]>;
  readonly lost: Map<string, number>;
  /** The number of the next cache event of each upstream. */
  readonly cacheNext: Map<string, number>;
  /** When each upstream last refused work or said that it leaves. */
  readonly refusedAt: Map<string, number>;
  firstRound: Promise<void>;
  rounds: number;
}

/** What a pool host needs. */
export interface PoolHostOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly view: members.ZoneView;
  readonly store: members.ConfigurationStore;
  readonly engines: requests.EngineClient;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** The pools that this daemon owns: their queues, their accounts, the watch on their upstreams' load. */
export class PoolHost {
  private readonly pools = new Map<string, Pool>();
  private isStopped = false;

  public constructor(private readonly options: PoolHostOptions) {}

  /** Runs until stopped. */
  public async run(): Promise<void> {
    const { cfg, clock } = this.options;
    const roundEvery = Math.max(1, Math.round(cfg.timings.reportMs / TICK_MS));
    for (let i = 0; !this.isStopped; i += 1) {
      await clock.sleep(TICK_MS);
      this.pools.forEach((pool, model) => {
        this.withdrawAbandoned(pool);
        pool.owner.tick();
        if (i % roundEvery === 0) {
          void this.watch(model, pool);
        }
      });
    }
  }

  /** Ends the tasks and sends everyone who waits to the next owner. */
  public stop(): void {
    this.isStopped = true;
    this.pools.forEach((pool) => pool.owner.close());
  }

  /** One ask for room; the same generation may ask again while it waits. */
  public async grant(model: string, req: routing.GrantRequest): Promise<peerRouters.GrantAnswer> {
    const pool = this.getPool(model);
    await pool.firstRound;
    const { clock } = this.options;
    const known = pool.tickets.get(req.generation);
    const ticket = known ?? {
      decision: undefined,
      askedAt: 0,
      changed: new schemas.ChangeSignal(),
    };
    ticket.askedAt = clock.now();
    if (known === undefined) {
      pool.tickets.set(req.generation, ticket);
      pool.owner.request(req, (decision) => {
        ticket.decision = decision;
        ticket.changed.notify();
      });
    }
    if (ticket.decision === undefined) {
      await ticket.changed.wait(clock, SLICE_MS);
    }
    if (ticket.decision !== undefined) {
      pool.tickets.delete(req.generation);
    }
    return this.createAnswer(model, pool, ticket.decision);
  }

  /** What a daemon tells of its generations. */
  public takeReport(report: peerRouters.PoolReport): void {
    const { daemonId, finished, model, prefix, tokens } = report;
    const { owner, refusedAt } = this.getPool(model);
    report.registered.forEach((item) => owner.register(item));
    report.leaving.forEach((id) => {
      refusedAt.set(id, this.options.clock.now());
      owner.markLeaving(id);
    });
    for (const [number = 0, count = 0, isNatural = 0] of takeGroups(finished, 3)) {
      owner.finish(`${prefix}${number.toString(36)}`, count, isNatural === 1);
    }
    if (report.isWhole) {
      const told = [...takeGroups(tokens, 2)].map(([number = 0, count = 0]): [string, number] => [
        `${prefix}${number.toString(36)}`,
        count,
      ]);
      owner.applyProgress({ daemonId, tokens: told });
    }
  }

  private getPool(model: string): Pool {
    const known = this.pools.get(model);
    if (known !== undefined) {
      return known;
    }
    const pool: Pool = {
      owner: this.createOwner(model),
      tickets: new Map(),
      serving: new Map(),
      lost: new Map(),
      cacheNext: new Map(),
      refusedAt: new Map(),
      firstRound: Promise.resolve(),
      rounds: 0,
    };
    this.pools.set(model, pool);
    pool.firstRound = this.watch(model, pool);
    return pool;
  }

  private createOwner(model: string): routing.PoolOwner {
    const { clock, store } = this.options;
    const intents = this.listIntents(model);
    const risks = intents.map((intent) => intent.overflowRisk);
    return new routing.PoolOwner({
      clock,
      overflowRisk: Math.min(...risks, 0.5),
      capacityTokens: intents.reduce((sum, intent) => sum + intent.room, 0) || Infinity,
      getShare: (name) => {
        const team = store.get().declaration.teams.find((item) => item.name === name);
        return team ?? { weight: 1, maxConcurrent: 1, maxQueued: 0 };
      },
    });
  }

  private listIntents(model: string): schemas.Intent[] {
    const { cfg, store } = this.options;
    return store
      .get()
      .declaration.intents.filter((intent) => intent.model === model)
      .filter((intent) => intent.availabilityZones.includes(cfg.availabilityZone));
  }

  /** Reads the load of the pool's upstreams, and now and then of those that may come to serve it. */
  private async watch(model: string, pool: Pool): Promise<void> {
    const { view } = this.options;
    pool.rounds += 1;
    const engines = view.getDirectory().upstreams.filter((item) => item.kind === 'engine');
    const isDiscovery = pool.rounds % DISCOVERY_ROUNDS === 1;
    const due = engines.filter(
      (item) => isDiscovery || (pool.serving.get(item.upstreamId)?.length ?? 0) > 0,
    );
    await Promise.all(due.map((upstream) => this.readLoad(model, pool, upstream)));
    const versions = this.listIntents(model).map((intent) => intent.version);
    const usable = chooseServing(engines, pool.serving, versions);
    pool.owner.setUpstreams(
      usable.map(({ upstreamId, state }) => ({
        upstreamId,
        isLeaving: state === 'leaving' || this.isShunned(pool, upstreamId),
      })),
    );
  }

  /** A refusal may be the first sign that an upstream leaves; without a second one it is tried again. */
  private isShunned(pool: Pool, upstreamId: string): boolean {
    const refusedAt = pool.refusedAt.get(upstreamId) ?? -Infinity;
    const isRefusing = this.options.clock.now() - refusedAt < SHUN_MS;
    return isRefusing || (pool.lost.get(upstreamId) ?? 0) >= MAX_LOST_REPORTS;
  }

  private async readLoad(model: string, pool: Pool, upstream: schemas.Upstream): Promise<void> {
    const { engines } = this.options;
    const { upstreamId } = upstream;
    try {
      const report = schemas.parse(
        schemas.loadReport,
        await engines.getJson(upstream, `/load?cacheSince=${pool.cacheNext.get(upstreamId) ?? 0}`),
        'load-report',
      );
      const held = report.models.filter((item) => item.model === model);
      pool.serving.set(
        upstreamId,
        held.map((item) => item.version),
      );
      pool.lost.delete(upstreamId);
      if (report.state === 'leaving') {
        pool.refusedAt.set(upstreamId, this.options.clock.now());
      }
      this.takeCacheEvents(pool, upstreamId, report.cache);
      pool.owner.applyReport(upstreamId, report);
    } catch (err) {
      pool.lost.set(upstreamId, (pool.lost.get(upstreamId) ?? 0) + 1);
      const { message } = schemas.toError(err);
      this.options.log.debug({ step: 'load-report', peer: upstreamId, err: message });
    }
  }

  private takeCacheEvents(
    pool: Pool,
    upstreamId: string,
    cache: schemas.LoadReport['cache'],
  ): void {
    if (cache === undefined) {
      return;
    }
    const { affinity } = pool.owner;
    // After a gap a prefix may have been dropped without a word, so everything known is unknown again.
    if (cache.first > (pool.cacheNext.get(upstreamId) ?? 0)) {
      affinity.forget(upstreamId);
    }
    pool.cacheNext.set(upstreamId, cache.first + cache.events.length);
    cache.events.forEach(({ isStored, prefix }) => {
      if (isStored) {
        affinity.add(prefix, upstreamId, this.options.clock.now());
      } else {
        affinity.remove(prefix, upstreamId);
      }
    });
  }

  private createAnswer(
    model: string,
    pool: Pool,
    decision: routing.GrantDecision | undefined,
  ): peerRouters.GrantAnswer {
    if (decision === undefined) {
      return { isPending: true, reason: 'queued', queuedMs: 0, pressure: 0, retryAfterS: 0 };
    }
    const held = pool.serving.get(decision.upstreamId ?? '') ?? [];
    const wanted = this.listIntents(model).find((intent) => held.includes(intent.version));
    return { isPending: false, ...decision, version: wanted?.version ?? held[0] };
  }

  private withdrawAbandoned(pool: Pool): void {
    const now = this.options.clock.now();
    pool.tickets.forEach((ticket, generation) => {
      if (now - ticket.askedAt < ABANDONED_MS) {
        return;
      }
      pool.tickets.delete(generation);
      pool.owner.withdraw(generation);
      if (ticket.decision?.upstreamId !== undefined) {
        pool.owner.finish(generation, 0, false);
      }
    });
  }
}

/** The wanted version where it is loaded; until then whatever version there is, so that one always serves. */
function chooseServing(
  engines: readonly schemas.Upstream[],
  serving: ReadonlyMap<string, readonly string[]>,
  versions: readonly string[],
): schemas.Upstream[] {
  const holders = engines.filter((item) => (serving.get(item.upstreamId)?.length ?? 0) > 0);
  const wanted = holders.filter((item) =>
    serving.get(item.upstreamId)?.some((version) => versions.includes(version)),
  );
  return wanted.length > 0 ? wanted : holders;
}

function* takeGroups(flat: readonly number[], size: number): Generator<readonly number[]> {
  for (let at = 0; at < flat.length; at += size) {
    yield flat.slice(at, at + size);
  }
}
