import type * as requests from '@bramleyridge/requests';
import type * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';

/** Timeout of a probe, in milliseconds; an engine normally answers within a few. */
const PROBE_TIMEOUT_MS = 400;

/**
 * How long an engine's leaving report is trusted while the list does not confirm it, in milliseconds. The list lags by
 * 0.8 s and is read every 0.3 s. If the engine is still listed as staying after that, the report is false or has
 * another cause, such as a temporary failure.
 */
const UNCONFIRMED_TRUST_MS = 2_500;

/**
 * Minimum time after a report before a new report of the same engine is trusted, in milliseconds. Limits the effect of
 * an engine that reports falsely.
 */
const DISTRUST_MS = 15_000;

/**
 * Maximum number of engines probed in one round. Thousands of probes per second would use all of the leader's CPU time,
 * and placement requests would go unanswered.
 */
const MAX_PROBES_PER_ROUND = 80;

/** Dependencies of the monitor. */
export interface LeavingEngineMonitorOptions {
  readonly probe: ports.UpstreamProbe;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Returns whether this host should probe. */
  readonly isActive: () => boolean;
  /** Pause between two rounds, in milliseconds. */
  readonly pauseMs: number;
  /** Lists all engines with the paths of their health endpoints. */
  readonly listEngines: () => readonly MonitoredEngine[];
  readonly gate: requests.UpstreamGate;
  /** Called with the load that an engine states with its answer. */
  readonly onLoad: (engine: MonitoredEngine, load: scheduling.StatedLoad) => void;
  /** Called when the trusted report of an engine changes. */
  readonly onChange: () => void;
}

/** An engine to probe. */
export interface MonitoredEngine {
  readonly service: string;
  readonly upstreamId: string;
  readonly processId: string;
  readonly address: string;
  readonly healthPath: string;
  /** Whether it has runs that could be migrated. */
  readonly hasRuns: boolean;
}

/**
 * Probes engines for whether they are leaving. A reclaimed engine serves for two seconds after its notice. The list
 * shows the notice a second late, and copying the KV caches of its runs takes another second: of 16 long generations
 * lost this way under heavy load, 13 were being copied. A probe returns the notice at once.
 */
export class LeavingEngineMonitor {
  private readonly reportedAt = new Map<string, number>();
  private isStopped = false;
  /** Index at which the next round starts if there are too many engines for one round. */
  private nextIndex = 0;

  public constructor(private readonly options: LeavingEngineMonitorOptions) {}

  /** Probes until stopped. */
  public async run(): Promise<void> {
    const { clock, isActive, log, pauseMs } = this.options;
    while (!this.isStopped) {
      if (isActive()) {
        await schemas.runRound(() => this.probeAll(), { log, step: 'probe-engines' });
      }
      await clock.sleep(pauseMs);
    }
  }

  /** Stops the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Returns whether an engine has reported that it leaves and the report is trusted. */
  public isLeaving(upstreamId: string): boolean {
    const ageMs = this.getAgeMs(upstreamId);
    return ageMs < UNCONFIRMED_TRUST_MS;
  }

  /** Starts a probe of each engine that is due, without waiting for the answers. */
  private probeAll(): void {
    const { listEngines, log } = this.options;
    const engines = listEngines();
    this.removeUnlisted(engines);
    this.selectEngines(engines).forEach((engine) => {
      const task = { log, step: 'probe', peer: engine.address };
      schemas.runInBackground(() => this.probeEngine(engine), task);
    });
  }

  /**
   * Selects the engines to probe in this round. If there are too many, probes only those with runs or a trusted leaving
   * report, and if these are too many, probes them in rotation.
   */
  private selectEngines(engines: readonly MonitoredEngine[]): readonly MonitoredEngine[] {
    if (engines.length <= MAX_PROBES_PER_ROUND) {
      return engines;
    }
    const candidates = engines.filter(
      (engine) => engine.hasRuns || this.isLeaving(engine.upstreamId),
    );
    const first = candidates.length > MAX_PROBES_PER_ROUND ? this.nextIndex % candidates.length : 0;
    this.nextIndex = first + MAX_PROBES_PER_ROUND;
    return [...candidates.slice(first), ...candidates.slice(0, first)].slice(
      0,
      MAX_PROBES_PER_ROUND,
    );
  }

  private async probeEngine(engine: MonitoredEngine): Promise<void> {
    const { gate, log, onLoad, probe } = this.options;
    const { address, healthPath, upstreamId } = engine;
    try {
      gate.use(await gate.admit(engine), engine);
      const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
      const answer = await probe.probe(address, healthPath, signal);
      gate.recordProbe(engine, answer.notice);
      this.handleReport(engine, answer.isLeaving);
      if (answer.load !== undefined) {
        onLoad(engine, answer.load);
      }
    } catch (err) {
      // A missing answer is not a leaving report; senders of work detect an unreachable engine themselves. The next probe
      // follows soon, if the engine takes one then.
      log.debug({ step: 'probe', upstream: upstreamId, err: schemas.toError(err).message });
    }
  }

  private handleReport({ upstreamId }: MonitoredEngine, saysLeaving: boolean): void {
    const { clock, log, onChange } = this.options;
    if (saysLeaving && this.getAgeMs(upstreamId) > DISTRUST_MS) {
      this.reportedAt.set(upstreamId, clock.now());
      log.info({ event: 'upstream-says-leaving', upstream: upstreamId });
      onChange();
    } else if (!saysLeaving && this.isLeaving(upstreamId)) {
      this.reportedAt.delete(upstreamId);
      log.info({ event: 'upstream-says-staying', upstream: upstreamId });
      onChange();
    }
  }

  private getAgeMs(upstreamId: string): number {
    return this.options.clock.now() - (this.reportedAt.get(upstreamId) ?? -Infinity);
  }

  private removeUnlisted(engines: readonly MonitoredEngine[]): void {
    const listed = new Set(engines.map(({ upstreamId }) => upstreamId));
    [...this.reportedAt.keys()]
      .filter((upstreamId) => !listed.has(upstreamId))
      .forEach((upstreamId) => this.reportedAt.delete(upstreamId));
  }
}
