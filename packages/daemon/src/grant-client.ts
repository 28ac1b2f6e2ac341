import type * as members from '@bramleyridge/members';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as peerMeshes from './peer-mesh.js';
import type * as peerRouters from './peer-router.js';
import type * as poolHosts from './pool-host.js';

/** How often owners are told of progress, in milliseconds. */
const PROGRESS_MS = 2_000;

/** How long an ask may be under way: the owner's slice and a margin, in milliseconds. */
const ASK_MS = 2_000;

/** How often the owner is tried before this daemon decides alone. */
const MAX_FAILURES = 3;

/** The pause between two tries, in milliseconds. */
const PAUSE_MS = 100;

/** The most generations that a daemon alone sends to one upstream. */
const LONE_SHARE = 4;

/** Room that was given, and the way to give it back. */
export interface Grant {
  readonly upstream: schemas.Upstream;
  readonly version: string;
  readonly reason: string;
  readonly queuedMs: number;
  readonly pressure: number;
}

interface Live {
  readonly model: string;
  readonly facts: routing.RunningGeneration;
  tokens: number;
  owner: string | undefined;
}

/** What the client needs. */
export interface GrantClientOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly view: members.ZoneView;
  readonly store: members.ConfigurationStore;
  readonly mesh: peerMeshes.PeerMesh;
  readonly host: poolHosts.PoolHost;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  /** What the name of every call of this process begins with. */
  readonly callPrefix: string;
}

/** Asks the pools' owners for room, tells them how this daemon's generations go on, decides alone if it must. */
export class GrantClient {
  private readonly live = new Map<string, Live>();
  private readonly finished = new Map<string, number[]>();
  private readonly leaving = new Map<string, Set<string>>();
  private readonly news = new schemas.ChangeSignal();
  private isStopped = false;

  public constructor(private readonly options: GrantClientOptions) {}

  /** Tells owners of ends at once and of all progress now and then, until stopped. */
  public async run(): Promise<void> {
    const { clock } = this.options;
    let wholeAt = clock.now();
    while (!this.isStopped) {
      await this.news.wait(clock, Math.max(0, wholeAt - clock.now()));
      const isWhole = clock.now() >= wholeAt;
      wholeAt = isWhole ? clock.now() + PROGRESS_MS : wholeAt;
      await this.flush(isWhole);
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
    this.news.notify();
  }

  /** Asks for room until it is given or refused, following the owner when it moves. */
  public async ask(
    model: string,
    req: routing.GrantRequest,
    isGone: () => boolean,
  ): Promise<Grant> {
    const { clock, cfg } = this.options;
    const askedAt = clock.now();
    let failures = 0;
    while (!isGone()) {
      const waitedMs = clock.now() - askedAt;
      const patienceMs = cfg.limits.queueMs - waitedMs;
      const answer = await this.askOwner(model, { ...req, waitedMs, patienceMs });
      if (answer === undefined) {
        failures += 1;
        if (failures >= MAX_FAILURES) {
          return this.decideAlone(model, req);
        }
        await clock.sleep(PAUSE_MS);
      } else if (!answer.isPending && answer.reason !== 'no-upstream') {
        return this.accept(model, req, answer);
      } else if (patienceMs <= 0) {
        return this.accept(model, req, { ...answer, reason: 'patience' });
      } else if (!answer.isPending) {
        await clock.sleep(PAUSE_MS);
      }
    }
    throw createNoRoom(req.team, 1);
  }

  /** Notes how far a generation came. */
  public progress(generation: string, tokens: number): void {
    const live = this.live.get(generation);
    if (live !== undefined) {
      live.tokens = tokens;
    }
  }

  /** Gives room back. */
  public finish(generation: string, isNatural: boolean): void {
    const live = this.live.get(generation);
    if (live === undefined) {
      return;
    }
    this.live.delete(generation);
    const list = this.finished.get(live.model) ?? [];
    list.push(getNumber(generation), live.tokens, isNatural ? 1 : 0);
    this.finished.set(live.model, list);
    this.news.notify();
  }

  /** Tells the owner of the first sign that an upstream is leaving or dead. */
  public noteLeaving(model: string, upstreamId: string): void {
    const set = this.leaving.get(model) ?? new Set<string>();
    this.leaving.set(model, set.add(upstreamId));
    this.news.notify();
  }

  /** How many generations this daemon relays now. */
  public getLiveCount(): number {
    return this.live.size;
  }

  /** An upstream of this zone by name. */
  public findUpstream(upstreamId: string): schemas.Upstream | undefined {
    const { upstreams } = this.options.view.getDirectory();
    return upstreams.find((item) => item.upstreamId === upstreamId);
  }

  private async askOwner(
    model: string,
    req: routing.GrantRequest,
  ): Promise<peerRouters.GrantAnswer | undefined> {
    const { cfg, host, log, mesh, view } = this.options;
    const owner = view.findOwner(model);
    if (owner === undefined) {
      return undefined;
    }
    try {
      return owner.daemonId === cfg.daemonId
        ? await host.grant(model, req)
        : await mesh
            .getAt(owner.daemonId, owner)
            .grant.mutate({ model, req }, { context: { deadlineMs: ASK_MS } });
    } catch (err) {
      const { message } = schemas.toError(err);
      log.warn({ step: 'ask-owner', peer: owner.daemonId, err: message });
      return undefined;
    }
  }

  private accept(model: string, req: routing.GrantRequest, answer: peerRouters.GrantAnswer): Grant {
    if (answer.upstreamId === undefined) {
      throw createRefusal(req, answer);
    }
    const upstream = this.findUpstream(answer.upstreamId);
    const owner = this.options.view.findOwner(model)?.daemonId;
    this.track(model, req, answer.upstreamId, owner);
    if (upstream === undefined) {
      this.finish(req.generation, false);
      throw createNoRoom(req.team, 1);
    }
    const { reason, queuedMs, pressure } = answer;
    return { upstream, version: answer.version ?? '', reason, queuedMs, pressure };
  }

  /**
   * When no owner answers, the daemon goes on with a conservative share of its own: it cannot know what
   * others do, so it takes the better of two at random and never more than a few on one upstream.
   */
  private decideAlone(model: string, req: routing.GrantRequest): Grant {
    const { store, view, random } = this.options;
    const intent = store.get().declaration.intents.find((item) => item.name === req.intent);
    const candidates = view
      .getDirectory()
      .upstreams.filter((item) => item.kind === 'engine' && item.state === 'live')
      .filter((item) => !req.excluded.includes(item.upstreamId))
      .map((item) => ({
        upstreamId: item.upstreamId,
        outstanding: this.countOn(item.upstreamId),
        reportedShare: this.countOn(item.upstreamId) / LONE_SHARE,
      }));
    const chosen = routing.chooseFallbackUpstream(candidates, random);
    const upstream = chosen === undefined ? undefined : this.findUpstream(chosen.upstreamId);
    if (upstream === undefined) {
      throw createNoRoom(req.team, 2);
    }
    this.track(model, req, upstream.upstreamId, undefined);
    return {
      upstream,
      version: intent?.version ?? '',
      reason: 'two-choices',
      queuedMs: 0,
      pressure: chosen?.reportedShare ?? 0,
    };
  }

  private track(
    model: string,
    req: routing.GrantRequest,
    upstreamId: string,
    owner: string | undefined,
  ): void {
    const facts: routing.RunningGeneration = { ...req, upstreamId, tokens: 0 };
    this.live.set(req.generation, { model, facts, tokens: 0, owner });
  }

  private countOn(upstreamId: string): number {
    return [...this.live.values()].filter((item) => item.facts.upstreamId === upstreamId).length;
  }

  private async flush(isWhole: boolean): Promise<void> {
    const models = new Set([
      ...(isWhole ? [...this.live.values()].map((item) => item.model) : []),
      ...this.finished.keys(),
      ...this.leaving.keys(),
    ]);
    await Promise.all([...models].map((model) => this.flushModel(model, isWhole)));
  }

  private async flushModel(model: string, isWhole: boolean): Promise<void> {
    const { cfg, host, log, mesh, view } = this.options;
    const owner = view.findOwner(model);
    if (owner === undefined) {
      return;
    }
    const mine = [...this.live.values()].filter((item) => item.model === model);
    // The account of room dies with its owner. Each daemon tells the next one what it relays, so the new
    // account is whole after one round and no upstream is filled twice.
    const unknown = mine.filter((item) => item.owner !== owner.daemonId);
    const finished = this.finished.get(model) ?? [];
    const leaving = [...(this.leaving.get(model) ?? [])];
    this.finished.delete(model);
    this.leaving.delete(model);
    const report: peerRouters.PoolReport = {
      model,
      daemonId: cfg.daemonId,
      prefix: this.options.callPrefix,
      isWhole,
      tokens: isWhole
        ? mine.flatMap((item) => [getNumber(item.facts.generation), item.tokens])
        : [],
      finished,
      registered: unknown.map((item) => ({ ...item.facts, tokens: item.tokens })),
      leaving,
    };
    try {
      if (owner.daemonId === cfg.daemonId) {
        host.takeReport(report);
      } else {
        await mesh.getAt(owner.daemonId, owner).pool.mutate(report);
      }
      mine.forEach((item) => {
        item.owner = owner.daemonId;
      });
    } catch (err) {
      this.finished.set(model, [...finished, ...(this.finished.get(model) ?? [])]);
      log.debug({ step: 'tell-owner', peer: owner.daemonId, err: schemas.toError(err).message });
    }
  }
}

function createRefusal(
  req: routing.GrantRequest,
  answer: peerRouters.GrantAnswer,
): schemas.Refusal {
  const { retryAfterS } = answer;
  const common = { step: 'grant', outcome: 'not-run' as const, retryAfterS };
  if (answer.reason === 'queue-full') {
    return new schemas.Refusal({
      ...common,
      id: 'queueFull',
      status: 429,
      args: [req.team, 'many'],
    });
  }
  if (answer.reason === 'too-many') {
    return new schemas.Refusal({ ...common, id: 'tooMany', status: 429, args: [req.team] });
  }
  return new schemas.Refusal({ ...common, id: 'noRoom', status: 503 });
}

function createNoRoom(team: string, retryAfterS: number): schemas.Refusal {
  return new schemas.Refusal({
    id: 'noRoom',
    step: 'grant',
    status: 503,
    outcome: 'not-run',
    retryAfterS,
    args: [team],
  });
}

/** The number of a call, the last part of its name. */
function getNumber(call: string): number {
  return Number.parseInt(call.slice(call.lastIndexOf('.') + 1), 36);
}
