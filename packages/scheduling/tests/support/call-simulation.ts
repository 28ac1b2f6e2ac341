import * as scheduling from '@bramleyridge/scheduling';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

import * as eventQueues from './event-queue.js';
import * as upstreamModels from './upstream-model.js';

/** Interval at which waiting calls are looked at without a release, in milliseconds, as on a host. */
const TIMER_MS = 20;

/** Time that a message takes between hosts or to an upstream, in milliseconds. */
const HOP_MS = 1;

/** Number of upstreams to which one call may be sent. */
const MAX_SENDS = 2;

/** Values of a 32-bit generator. */
const VALUES = 2 ** 32;

/** Calls of one team and route. */
export interface Load {
  readonly team: string;
  readonly priority?: number;
  readonly callsPerS: number;
  readonly targetMs: number;
  readonly timeoutMs: number;
  readonly availabilityZone?: string;
  readonly fromMs?: number;
  readonly untilMs?: number;
  /** Whether its callers were refused before and return at the time that they were told. */
  readonly isReturn?: boolean;
}

/** What became of one call. */
export interface CallOutcome {
  readonly load: Load;
  readonly arrivedAt: number;
  readonly result: 'served' | 'refused' | 'shed' | 'expired' | 'unanswered';
  /** Time until the answer or the refusal, in milliseconds. */
  readonly tookMs: number;
  readonly upstreamId: string | undefined;
  readonly hostId: string;
  readonly retryAfterMs?: number;
}

/** Options of a simulation. */
export interface CallSimulationOptions {
  readonly seed: number;
  readonly upstreams: readonly upstreamModels.UpstreamModelOptions[];
  readonly getWeight?: (team: string) => number;
  /** Number of hosts that schedule alone; by default, a leader schedules for all. */
  readonly loneHosts?: number;
  /** Number of hosts that share a leader; 1 by default. */
  readonly hosts?: number;
  /** Whether refusals use `CallReturnTimes`. */
  readonly hasReturnTimes?: boolean;
  /** Whether refused callers return once, at the time that they are told. */
  readonly refusedReturn?: boolean;
}

/** Calls that arrive at random, one scheduler, and models of upstreams, on virtual time. */
export class CallSimulation {
  public readonly outcomes: CallOutcome[] = [];
  public readonly models: upstreamModels.UpstreamModel[];
  public readonly schedulers: readonly scheduling.CallScheduler[];
  private readonly events = new eventQueues.EventQueue();
  private readonly random: () => number;
  private readonly settle = new Map<string, (settled: scheduling.SettledCall) => void>();
  private readonly returnTimes = new Map<
    scheduling.CallScheduler,
    scheduling.CallReturnTimes | undefined
  >();
  private sequence = 0;

  public constructor(private readonly options: CallSimulationOptions) {
    const rng = xoroshiro.xoroshiro128plus(options.seed);
    this.random = () => (rng.next() >>> 0) / VALUES;
    this.models = options.upstreams.map(
      (facts) =>
        new upstreamModels.UpstreamModel(
          facts,
          (delayMs, run) => this.events.schedule(delayMs, run),
          this.random,
          () => this.events.now(),
        ),
    );
    const { getWeight = () => 1, loneHosts } = options;
    const getLimitShare = loneHosts === undefined ? undefined : () => 1 / loneHosts;
    this.schedulers = Array.from({ length: loneHosts ?? 1 }, () => {
      const { random } = this;
      const returnTimes =
        options.hasReturnTimes === true ? new scheduling.CallReturnTimes(random) : undefined;
      const scheduler = new scheduling.CallScheduler({
        getWeight,
        random,
        getLimitShare,
        retryTimes: returnTimes,
      });
      this.returnTimes.set(scheduler, returnTimes);
      scheduler.setUpstreams(options.upstreams.map(createSchedulable));
      return scheduler;
    });
  }

  /** Runs loads for a time, then waits for the last calls to end. */
  public run(loads: readonly Load[], durationMs: number): void {
    loads.forEach((load) => this.scheduleNext(load, durationMs, load.fromMs ?? 0));
    this.tick();
    this.events.runUntil(durationMs + 5_000);
  }

  private tick(): void {
    this.schedulers.forEach((scheduler) => this.settleAll(scheduler.dispatch(this.events.now())));
    this.events.schedule(TIMER_MS, () => this.tick());
  }

  private scheduleNext(load: Load, durationMs: number, from: number): void {
    const gapMs = (-Math.log(1 - this.random()) * 1_000) / load.callsPerS;
    const at = from + gapMs;
    if (at < Math.min(durationMs, load.untilMs ?? Infinity)) {
      this.events.schedule(at - this.events.now(), () => {
        this.request(load, at, []);
        this.scheduleNext(load, durationMs, at);
      });
    }
  }

  private request(load: Load, arrivedAt: number, excluded: readonly string[]): void {
    this.sequence += 1;
    const spec = {
      callId: `c${this.sequence}`,
      hostId: `h${this.sequence % (this.options.hosts ?? 1)}`,
      incarnation: 'i',
      team: load.team,
      priority: load.priority ?? 0,
      availabilityZone: load.availabilityZone ?? 'a',
      dueAt: arrivedAt + load.targetMs,
      expiresAt: arrivedAt + load.timeoutMs,
      excluded,
    };
    const scheduler = this.schedulers[Math.floor(this.random() * this.schedulers.length)]!;
    this.settle.set(spec.callId, (settled) => this.handle(load, arrivedAt, scheduler, settled));
    this.events.schedule(HOP_MS, () => this.settleAll(scheduler.submit(spec, this.events.now())));
  }

  private handle(
    load: Load,
    arrivedAt: number,
    scheduler: scheduling.CallScheduler,
    settled: scheduling.SettledCall,
  ): void {
    const record = (result: CallOutcome['result'], upstreamId?: string, retryAfterMs?: number) => {
      const tookMs = this.events.now() - arrivedAt;
      const { hostId } = settled.spec;
      this.outcomes.push({ load, arrivedAt, result, tookMs, upstreamId, hostId, retryAfterMs });
    };
    if (settled.kind === 'refused') {
      record('refused', undefined, settled.retryAfterMs);
      this.scheduleReturn(load, arrivedAt, settled.retryAfterMs);
      return;
    }
    this.returnTimes.get(scheduler)?.recordGranted(this.events.now());
    const { spec, upstreamId } = settled;
    const model = this.models.find(({ options }) => options.upstreamId === upstreamId)!;
    this.events.schedule(2 * HOP_MS, () => {
      const sentAt = this.events.now() - HOP_MS;
      const release = (
        result: scheduling.CallEnd['result'],
        load_ = model.getLoad(),
        hasAnswered = true,
      ) =>
        this.events.schedule(2 * HOP_MS, () => {
          const tookMs = this.events.now() - HOP_MS - sentAt;
          const end = { result, tookMs, load: load_, hasAnswered };
          this.settleAll(scheduler.complete(spec.callId, end, this.events.now()));
        });
      if (model.isClosing(spec.hostId)) {
        release('failed', undefined, false);
        record('unanswered', upstreamId);
        return;
      }
      const isTaken = model.receive((hasFailed) => {
        release(hasFailed ? 'failed' : 'answered');
        const isExpired = this.events.now() + HOP_MS > spec.expiresAt;
        record(isExpired ? 'expired' : 'served', upstreamId);
      });
      if (!isTaken) {
        release('not-run', undefined);
        if (spec.excluded.length + 1 < MAX_SENDS) {
          this.request(load, arrivedAt, [...spec.excluded, upstreamId]);
        } else {
          record('shed', upstreamId);
        }
      }
    });
  }

  private scheduleReturn(load: Load, arrivedAt: number, retryAfterMs: number): void {
    if (this.options.refusedReturn !== true || load.isReturn === true) {
      return;
    }
    const returnsAt = this.events.now() + retryAfterMs;
    const timeoutMs = arrivedAt + load.timeoutMs - returnsAt;
    this.events.schedule(retryAfterMs, () =>
      this.request({ ...load, timeoutMs, isReturn: true }, returnsAt, []),
    );
  }

  private settleAll(settled: readonly scheduling.SettledCall[]): void {
    settled.forEach((item) => {
      const settle = this.settle.get(item.spec.callId);
      this.settle.delete(item.spec.callId);
      settle?.(item);
    });
  }
}

function createSchedulable({
  availabilityZone,
  declaredSlots,
  upstreamId,
}: upstreamModels.UpstreamModelOptions): scheduling.SchedulableUpstream {
  const processId = upstreamId;
  return { upstreamId, processId, availabilityZone, slots: declaredSlots, coldUntil: 0 };
}

/** Figures of the calls of a simulation to which a condition applies. */
export function summarize(
  outcomes: readonly CallOutcome[],
  matches: (load: Load) => boolean = () => true,
) {
  const calls = outcomes.filter(({ load }) => matches(load));
  const served = calls.filter(({ result }) => result === 'served');
  const onTime = served.filter(({ load, tookMs }) => tookMs <= load.targetMs);
  return {
    asked: calls.length,
    served: served.length,
    refused: calls.filter(({ result }) => result === 'refused').length,
    servedShare: served.length / calls.length,
    onTimeShare: onTime.length / served.length,
  };
}
