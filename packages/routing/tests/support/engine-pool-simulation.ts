import * as routing from '@bramleyridge/routing';
import * as float64 from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Memory of an engine in tokens, its slots, prefill rate and time per step in milliseconds. */
export const MEMORY = 34_000;
const SLOTS = 24;
const PREFILL_TOKENS_PER_MS = 7;
const STEP_MS = 9;

/** Time within which a first event is due, and the part of it that a generation may wait. */
const FIRST_EVENT_TARGET_MS = 1_800;
const MAX_WAIT_SHARE = 0.4;

/** Interval at which the queue is dispatched, in milliseconds. */
const DISPATCH_MS = 20;

/** Number of skipped draws; the first ones of small seeds are close to 0 or 1. */
const SKIPPED_DRAWS = 20;

/** Generations of one team, with exponential gaps between them. */
export interface Flow {
  readonly team: string;
  readonly perS: number;
  readonly priority?: number;
  readonly promptTokens?: number;
  readonly answerTokens?: number;
}

/** What became of the generations of one flow. */
export interface FlowCounts {
  asked: number;
  served: number;
  /** Memory of the served generations, in tokens. */
  tokens: number;
}

interface Queued extends routing.QueuedPlacement {
  readonly flow: Flow;
}

interface Run {
  readonly spec: routing.PlacementSpec;
  readonly engineId: string;
  readonly startedAt: number;
}

/** Engines with a placement queue, under load, on virtual time. */
export class EnginePoolSimulation {
  public ledger = new routing.EngineLedger();
  public queue!: routing.PlacementQueue<Queued>;
  public now = 0;
  private readonly generator: ReturnType<typeof xoroshiro.xoroshiro128plus>;
  private readonly counts = new Map<Flow, FlowCounts>();
  private readonly nextAt = new Map<Flow, number>();
  private readonly prefillFreeAt = new Map<string, number>();
  private readonly events: { readonly at: number; run(): void }[] = [];
  private readonly running = new Map<string, Run>();
  private asked = 0;
  private shareSum = 0;
  private steps = 0;

  public constructor(
    private readonly engineCount: number,
    private readonly flows: readonly Flow[],
    seed: number,
    private readonly createOrder?: (ledger: routing.EngineLedger) => routing.PlacementOrder<Queued>,
  ) {
    this.generator = xoroshiro.xoroshiro128plus(seed);
    for (let i = 0; i < SKIPPED_DRAWS; i += 1) {
      this.random();
    }
    this.lead();
    this.resetCounts();
    flows.forEach((flow) => this.nextAt.set(flow, this.drawGap(flow)));
  }

  /** Starts as a new leader with an empty queue; the hosts report the runs that they have. */
  public lead(): void {
    this.ledger = new routing.EngineLedger();
    this.queue = new routing.PlacementQueue(this.ledger, this.createOrder?.(this.ledger));
    this.ledger.setEngines(
      Array.from({ length: this.engineCount }, (_, i) => ({
        engineId: `e${i}`,
        memoryTokens: MEMORY,
        slots: SLOTS,
        availabilityZone: 'a',
      })),
    );
    this.running.forEach(({ engineId, spec, startedAt }) => {
      const report = { fixedEngineId: engineId, isUnderWay: true, ranMs: this.now - startedAt };
      this.ledger.place({ ...spec, ...report }, this.now);
    });
  }

  /** Counts from now on. */
  public resetCounts(): void {
    this.flows.forEach((flow) => this.counts.set(flow, { asked: 0, served: 0, tokens: 0 }));
    this.shareSum = 0;
    this.steps = 0;
  }

  /** Returns the counts of a flow. */
  public getCounts(flow: Flow): FlowCounts {
    return this.counts.get(flow)!;
  }

  /** Returns the part of the generations of a flow that were placed. */
  public getRate(flow: Flow): number {
    const { asked, served } = this.getCounts(flow);
    return served / asked;
  }

  /** Returns the memory of all generations that were served, in tokens. */
  public getServedTokens(): number {
    return [...this.counts.values()].reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Returns the mean forecast share of the engines' memory in use. */
  public getMeanShare(): number {
    return this.shareSum / this.steps;
  }

  /** Runs for some time. */
  public run(durationMs: number): void {
    const untilMs = this.now + durationMs;
    for (; this.now < untilMs; this.now += DISPATCH_MS) {
      this.step();
    }
  }

  private step(): void {
    const { events, now } = this;
    events
      .filter(({ at }) => at <= now)
      .sort((a, b) => a.at - b.at)
      .forEach((event) => {
        events.splice(events.indexOf(event), 1);
        event.run();
      });
    this.flows.forEach((flow) => {
      while (this.nextAt.get(flow)! <= now) {
        this.ask(flow);
        this.nextAt.set(flow, this.nextAt.get(flow)! + this.drawGap(flow));
      }
    });
    this.shareSum += this.ledger.getSummary(now).share;
    this.steps += 1;
    this.queue.dispatch(now).forEach(({ placed, queued }) => {
      if (placed !== undefined) {
        this.start(queued, placed.engineId);
      }
    });
  }

  private ask(flow: Flow): void {
    this.counts.get(flow)!.asked += 1;
    this.asked += 1;
    this.queue.add({
      flow,
      team: flow.team,
      priority: flow.priority ?? 0,
      spec: {
        callId: `c${this.asked}`,
        availabilityZone: 'a',
        promptTokens: flow.promptTokens ?? 1_500,
        answerTokens: flow.answerTokens ?? 500,
        leftMs: 39_000,
        excluded: [],
        wantsCopy: false,
        ranMs: 0,
      },
      dueAt: this.now + FIRST_EVENT_TARGET_MS,
      expiresAt: this.now + FIRST_EVENT_TARGET_MS * MAX_WAIT_SHARE,
    });
  }

  private start({ flow, spec }: Queued, engineId: string): void {
    const count = this.counts.get(flow)!;
    count.served += 1;
    count.tokens += spec.promptTokens + spec.answerTokens;
    this.running.set(spec.callId, { spec, engineId, startedAt: this.now });
    const prefillAt = Math.max(this.now, this.prefillFreeAt.get(engineId) ?? 0);
    const firstAt = prefillAt + spec.promptTokens / PREFILL_TOKENS_PER_MS;
    this.prefillFreeAt.set(engineId, firstAt);
    this.events.push({
      at: firstAt,
      run: () => this.ledger.recordFirstEvent(spec.callId, firstAt),
    });
    const endsAt = firstAt + spec.answerTokens * STEP_MS * (0.5 + this.random());
    this.events.push({
      at: endsAt,
      run: () => {
        this.running.delete(spec.callId);
        this.ledger.release(spec.callId, false, endsAt);
      },
    });
  }

  private drawGap({ perS }: Flow): number {
    return (-Math.log(1 - this.random()) * 1_000) / perS;
  }

  private random(): number {
    return float64.uniformFloat64(this.generator);
  }
}
