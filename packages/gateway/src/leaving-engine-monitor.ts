import * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';

/** How long an engine may take to say whether it is leaving, in milliseconds; it answers within a few. */
const PROBE_MS = 400;

/**
 * How long an engine's word that it leaves counts while the list does not confirm it, in milliseconds. The list
 * lags by 0.8 s and is read every 0.3 s; one that is still listed as staying after that says something else by it,
 * such as that it fails for a while, or what it says is false.
 */
const UNCONFIRMED_MS = 2_500;

/** How long an engine whose word proved false is not believed again, in milliseconds. */
const DISBELIEF_MS = 15_000;

/**
 * How many engines are asked in one round at most. Thousands of questions a second would take all of the leader's processor,
 * and then nobody is told where to send anything.
 */
const MOST_ASKED = 80;

/** What the watch needs. */
export interface LeavingEngineMonitorOptions {
  readonly probe: ports.UpstreamProbe;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  /** Whether this host is the one that should ask. */
  readonly isActive: () => boolean;
  /** The pause between two rounds, in milliseconds. */
  readonly pauseMs: number;
  /** All engines, with the path of their health answer. */
  readonly listEngines: () => readonly MonitoredEngine[];
  /** Called when some engine's word has changed. */
  readonly onChange: () => void;
}

/** An engine that is asked. */
export interface MonitoredEngine {
  readonly upstreamId: string;
  readonly address: string;
  readonly healthPath: string;
  /** Whether something runs there that could be handed over. */
  readonly hasRuns: boolean;
}

/**
 * Asks engines whether they are leaving. An engine that is reclaimed serves for two seconds from its notice; the
 * list shows that a second late, and copying the memory of its runs takes the other: of 16 drafts that were lost so
 * on a heavy day 13 had their copy under way. Asked directly it says so at once.
 */
export class LeavingEngineMonitor {
  private readonly saidAt = new Map<string, number>();
  private isStopped = false;
  /** Where the next round begins, when there are too many to ask at once. */
  private nextAsked = 0;

  public constructor(private readonly options: LeavingEngineMonitorOptions) {}

  /** Asks until stopped. */
  public async run(): Promise<void> {
    const { clock, isActive: isDue, listEngines, pauseMs } = this.options;
    while (!this.isStopped) {
      if (isDue()) {
        const engines = listEngines();
        this.forgetAllBut(engines);
        this.chooseAsked(engines).forEach((engine) => {
          void this.ask(engine);
        });
      }
      await clock.sleep(pauseMs);
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Whether an engine says that it leaves, and is believed. */
  public isLeaving(upstreamId: string): boolean {
    const ageMs = this.getAgeMs(upstreamId);
    return ageMs < UNCONFIRMED_MS;
  }

  /** The engines to ask in this round: of too many those on which something runs, and of too many of these each in turn. */
  private chooseAsked(engines: readonly MonitoredEngine[]): readonly MonitoredEngine[] {
    if (engines.length <= MOST_ASKED) {
      return engines;
    }
    const asked = engines.filter((engine) => engine.hasRuns || this.isLeaving(engine.upstreamId));
    const first = asked.length > MOST_ASKED ? this.nextAsked % asked.length : 0;
    this.nextAsked = first + MOST_ASKED;
    return [...asked.slice(first), ...asked.slice(0, first)].slice(0, MOST_ASKED);
  }

  private async ask(engine: MonitoredEngine): Promise<void> {
    const { log, probe } = this.options;
    const { address, healthPath, upstreamId } = engine;
    try {
      const saysLeaving = await probe.isLeaving(address, healthPath, AbortSignal.timeout(PROBE_MS));
      this.take(engine, saysLeaving);
    } catch (err) {
      // Whoever sends work there finds out by itself; an engine that does not answer has not said that it leaves.
      log.debug({ step: 'probe', upstream: upstreamId, err: schemas.toError(err).message });
    }
  }

  private take({ upstreamId }: MonitoredEngine, saysLeaving: boolean): void {
    const { clock, log, onChange } = this.options;
    if (saysLeaving && this.getAgeMs(upstreamId) > DISBELIEF_MS) {
      this.saidAt.set(upstreamId, clock.now());
      log.info({ event: 'upstream-says-leaving', upstream: upstreamId });
      onChange();
    } else if (!saysLeaving && this.isLeaving(upstreamId)) {
      this.saidAt.delete(upstreamId);
      log.info({ event: 'upstream-says-staying', upstream: upstreamId });
      onChange();
    }
  }

  private getAgeMs(upstreamId: string): number {
    return this.options.clock.now() - (this.saidAt.get(upstreamId) ?? -Infinity);
  }

  private forgetAllBut(engines: readonly MonitoredEngine[]): void {
    const known = new Set(engines.map(({ upstreamId }) => upstreamId));
    [...this.saidAt.keys()]
      .filter((upstreamId) => !known.has(upstreamId))
      .forEach((upstreamId) => this.saidAt.delete(upstreamId));
  }
}
