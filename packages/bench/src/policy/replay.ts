import * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import * as baselines from './baselines.js';
import * as measures from './measures.js';
import * as oracles from './oracle.js';
import * as simClocks from './sim-clock.js';
import * as simEngines from './sim-engine.js';
import * as traces from './trace.js';

/** Latency of one message between daemons or to an engine. */
const MESSAGE_DELAY_MS = 1;

/** Interval at which daemons report progress to the owner. */
const PROGRESS_INTERVAL_MS = 2_000;

/** Interval at which the owner processes its queue. */
const TICK_INTERVAL_MS = 100;

/** Delay before a daemon repeats a grant request; also the unit of the random interval between cache losses. */
const RETRY_DELAY_MS = 500;

/** Time that a pool is without an owner after the owner fails. */
const OWNER_FAILOVER_MS = 3_000;

const DAEMON_COUNT = 6;

/** A fault that a replay injects. */
export type ReplayFault =
  'none' | 'engine-dies' | 'owner-dies' | 'late-reports' | 'cache-gaps' | 'mix-shifts';

/** Options of a replay. */
export interface ReplayOptions {
  readonly mix: traces.Mix;
  readonly trace: readonly traces.TraceLine[];
  /** Arrivals per second. */
  readonly rate: number;
  readonly engines: number;
  readonly durationS: number;
  readonly warmupS: number;
  readonly seed: number;
  readonly fault: ReplayFault;
}

/** Policy by which a replay assigns requests to engines. */
export interface ReplayPolicy {
  readonly name: string;
  /** Name of a baseline; undefined for the pool owner. */
  readonly baseline?: string;
  /** Whether requests to engines include their class, so that interactive work is served first. */
  readonly sendsClass: boolean;
  readonly overflowRisk?: number;
  readonly isOracle?: boolean;
}

interface Job {
  readonly id: string;
  readonly line: traces.TraceLine;
  readonly daemon: number;
  readonly request: measures.RequestInFlight;
  engine: simEngines.SimEngine | undefined;
}

/** Replays a trace on virtual time against simulated engines, with the production classes for decisions. */
export class Replay {
  private readonly clock = new simClocks.SimClock();
  private readonly recorder: measures.Recorder;
  private readonly random: traces.Random;
  private readonly engines: simEngines.SimEngine[];
  private readonly views: baselines.EngineView[][];
  private readonly jobs = new Map<string, Job>();
  private readonly endMs: number;
  private readonly demands = new Map<string, number>();
  private owner: routing.PoolOwner | undefined;
  private isOwnerDown = false;
  private readonly baseline: baselines.Baseline | undefined;

  public constructor(
    private readonly options: ReplayOptions,
    private readonly policy: ReplayPolicy,
  ) {
    this.endMs = options.durationS * 1_000;
    this.recorder = new measures.Recorder(options.warmupS * 1_000, this.endMs);
    this.random = new traces.Random(options.seed + 17);
    this.engines = Array.from(
      { length: options.engines },
      (_, i) =>
        new simEngines.SimEngine(`e${i}`, this.clock, (engine, report) => {
          this.handleReport(engine, report);
        }),
    );
    this.views = Array.from({ length: DAEMON_COUNT }, () =>
      this.engines.map(({ upstreamId }) => ({
        upstreamId,
        outstanding: 0,
        report: undefined,
        sentSince: 0,
      })),
    );
    this.baseline = baselines.BASELINES[policy.baseline ?? '']?.();
    if (this.baseline === undefined) {
      this.createOwner();
    }
  }

  /** Runs the replay and returns its measurements. */
  public run(): measures.ReplayMeasurements {
    const { options } = this;
    options.trace.forEach((line, i) => {
      const at = (line.arrival / options.rate) * 1_000;
      if (at < this.endMs) {
        this.clock.after(at, () => this.arrive(line, i));
      }
    });
    this.injectFault();
    this.scheduleProgress();
    this.scheduleTicks();
    // Requests that have arrived run to completion, so that a slow policy cannot hide the ones that it delayed.
    const limit = 4 * this.endMs;
    this.clock.run(() => {
      const isFinished = this.clock.now() > this.endMs && this.jobs.size === 0;
      return isFinished || this.clock.now() > limit;
    });
    return this.recorder.summarize((total) =>
      measures.shareMaxMin(
        total,
        options.mix.teams.map(({ name, weight }) => ({
          name,
          weight,
          demand: this.demands.get(name) ?? 0,
        })),
      ),
    );
  }

  private arrive(line: traces.TraceLine, i: number): void {
    const now = this.clock.now();
    const isMeasured = now >= this.options.warmupS * 1_000;
    const effectiveLine = this.applyMixShift(line, now);
    const request: measures.RequestInFlight = {
      team: line.team,
      isShort: line.class === 'interactive',
      arrivedAt: now,
      isMeasured,
      lastAt: now,
      tokens: 0,
      stallMs: 0,
    };
    if (isMeasured) {
      this.demands.set(line.team, (this.demands.get(line.team) ?? 0) + effectiveLine.outputTokens);
    }
    const job: Job = {
      id: `g${i}`,
      line: effectiveLine,
      daemon: i % DAEMON_COUNT,
      request,
      engine: undefined,
    };
    this.jobs.set(job.id, job);
    if (this.baseline !== undefined) {
      this.dispatchByBaseline(job, this.baseline);
    } else {
      this.clock.after(MESSAGE_DELAY_MS, () => this.requestGrant(job, 0));
    }
  }

  private requestGrant(job: Job, waitedMs: number): void {
    if (this.isOwnerDown || this.owner === undefined) {
      this.clock.after(RETRY_DELAY_MS, () => this.requestGrant(job, waitedMs + RETRY_DELAY_MS));
      return;
    }
    const { line } = job;
    this.owner.request(
      {
        generation: job.id,
        daemonId: `d${job.daemon}`,
        team: line.team,
        intent: line.model,
        workClass: line.class,
        promptTokens: line.promptTokens,
        maxTokens: this.policy.isOracle ? line.outputTokens : 32_768,
        prefix: line.prefix,
        waitedMs,
        patienceMs: Infinity,
        excluded: [],
      },
      (decision) => {
        const engine = this.engines.find((item) => item.upstreamId === decision.upstreamId);
        if (engine === undefined) {
          this.clock.after(RETRY_DELAY_MS, () => this.requestGrant(job, waitedMs));
          return;
        }
        this.clock.after(2 * MESSAGE_DELAY_MS, () => this.start(job, engine));
      },
    );
  }

  private dispatchByBaseline(job: Job, baseline: baselines.Baseline): void {
    const available = this.views[job.daemon]!.filter(
      (item) => !this.findEngine(item.upstreamId).isDead,
    );
    const chosen = baseline.choose(available, this.random);
    chosen.outstanding += 1;
    chosen.sentSince += job.line.promptTokens;
    const engine = this.findEngine(chosen.upstreamId);
    this.clock.after(MESSAGE_DELAY_MS, () => this.start(job, engine));
  }

  private start(job: Job, engine: simEngines.SimEngine): void {
    if (engine.isDead) {
      this.retry(job);
      return;
    }
    job.engine = engine;
    const { line, request } = job;
    engine.submit({
      id: job.id,
      promptTokens: line.promptTokens,
      outputTokens: line.outputTokens,
      priority: !this.policy.sendsClass || line.class === 'interactive' ? 0 : 1,
      prefix: line.prefix,
      prefixTokens: line.prefixTokens,
      onToken: () => this.recorder.recordToken(request, this.clock.now()),
      onEnd: () => this.end(job, true),
      onPreempt: () => this.recorder.recordPreemption(request),
    });
  }

  private end(job: Job, isCompleted: boolean): void {
    this.jobs.delete(job.id);
    if (isCompleted) {
      this.recorder.recordEnd(job.request, this.clock.now());
    }
    const upstreamId = job.engine?.upstreamId;
    const view = this.views[job.daemon]!.find((item) => item.upstreamId === upstreamId);
    if (view !== undefined) {
      view.outstanding -= 1;
    }
    this.clock.after(MESSAGE_DELAY_MS, () => {
      this.owner?.finish(job.id, job.request.tokens, isCompleted);
    });
  }

  /** Handles a request whose engine has failed: breaks it when it had delivered tokens, else sends it again. */
  private retry(job: Job): void {
    this.end(job, false);
    if (job.request.tokens > 0) {
      this.recorder.recordBreak(job.request);
      return;
    }
    job.engine = undefined;
    this.jobs.set(job.id, job);
    if (this.baseline === undefined) {
      this.clock.after(MESSAGE_DELAY_MS, () => this.requestGrant(job, 0));
    } else {
      this.dispatchByBaseline(job, this.baseline);
    }
  }

  private handleReport(engine: simEngines.SimEngine, report: schemas.LoadReport): void {
    this.views.forEach((list) => {
      const view = list.find((item) => item.upstreamId === engine.upstreamId)!;
      view.report = report;
      view.sentSince = 0;
    });
    if (!this.isOwnerDown) {
      this.owner?.applyReport(engine.upstreamId, report);
    }
  }

  private createOwner(): void {
    this.owner = new routing.PoolOwner({
      clock: this.clock,
      overflowRisk: this.policy.overflowRisk ?? 0.05,
      capacityTokens: Infinity,
      lengths: this.policy.isOracle ? new oracles.Oracle() : undefined,
      getShare: (name) => {
        const team = this.options.mix.teams.find((item) => item.name === name);
        return { weight: team?.weight ?? 1, maxConcurrent: Infinity, maxQueued: Infinity };
      },
    });
    this.setUpstreams();
  }

  private setUpstreams(): void {
    const available = this.engines.filter((engine) => !engine.isDead);
    this.owner?.setUpstreams(available.map(({ upstreamId }) => ({ upstreamId, isLeaving: false })));
  }

  private scheduleProgress(): void {
    if (this.owner !== undefined && !this.isOwnerDown) {
      const { owner } = this;
      for (let i = 0; i < DAEMON_COUNT; i += 1) {
        const tokens = [...this.jobs.values()]
          .filter((job) => job.daemon === i && job.engine !== undefined)
          .map((job): [string, number] => [job.id, job.request.tokens]);
        this.clock.after(MESSAGE_DELAY_MS, () =>
          owner.applyProgress({ daemonId: `d${i}`, tokens }),
        );
      }
    }
    this.clock.after(PROGRESS_INTERVAL_MS, () => this.scheduleProgress());
  }

  private scheduleTicks(): void {
    if (!this.isOwnerDown) {
      this.owner?.tick();
    }
    this.clock.after(TICK_INTERVAL_MS, () => this.scheduleTicks());
  }

  private injectFault(): void {
    const atMs = (this.options.warmupS * 1_000 + this.endMs) / 2;
    if (this.options.fault === 'engine-dies') {
      this.clock.after(atMs, () => this.killEngine());
    }
    if (this.options.fault === 'owner-dies') {
      this.clock.after(atMs, () => this.killOwner());
    }
    if (this.options.fault === 'late-reports') {
      this.engines.filter((_, i) => i % 3 === 0).forEach((engine) => (engine.extraLagMs = 5_000));
    }
    if (this.options.fault === 'cache-gaps') {
      this.scheduleCacheLosses();
    }
  }

  private killEngine(): void {
    const engine = this.engines[0]!;
    const lost = engine.die();
    this.clock.after(MESSAGE_DELAY_MS, () => {
      this.setUpstreams();
      lost.forEach((id) => {
        const job = this.jobs.get(id);
        if (job !== undefined) {
          this.retry(job);
        }
      });
    });
  }

  /**
   * Fails the owner with its ledger. Daemons then register running requests with its successor and request grants again
   * for waiting ones.
   */
  private killOwner(): void {
    if (this.owner === undefined) {
      return;
    }
    this.isOwnerDown = true;
    const waiting = [...this.jobs.values()].filter((job) => job.engine === undefined);
    this.clock.after(OWNER_FAILOVER_MS, () => {
      this.createOwner();
      this.isOwnerDown = false;
      this.jobs.forEach((job) => this.register(job));
      waiting
        .filter((job) => job.engine === undefined)
        .forEach((job) => this.requestGrant(job, OWNER_FAILOVER_MS));
    });
  }

  private register(job: Job): void {
    if (job.engine === undefined) {
      return;
    }
    const { line } = job;
    this.owner?.register({
      generation: job.id,
      daemonId: `d${job.daemon}`,
      upstreamId: job.engine.upstreamId,
      team: line.team,
      intent: line.model,
      workClass: line.class,
      promptTokens: line.promptTokens,
      maxTokens: 32_768,
      tokens: job.request.tokens,
    });
  }

  private scheduleCacheLosses(): void {
    this.engines.forEach((engine) => this.owner?.affinity.forget(engine.upstreamId));
    this.clock.after(RETRY_DELAY_MS * this.random.between(1, 20), () => this.scheduleCacheLosses());
  }

  private applyMixShift(line: traces.TraceLine, now: number): traces.TraceLine {
    const isShifted =
      this.options.fault === 'mix-shifts' &&
      line.class === 'batch' &&
      now > (this.options.warmupS * 1_000 + this.endMs) / 2;
    return isShifted ? { ...line, outputTokens: Math.min(24_000, line.outputTokens * 2) } : line;
  }

  private findEngine(upstreamId: string): simEngines.SimEngine {
    return this.engines.find((item) => item.upstreamId === upstreamId)!;
  }
}
