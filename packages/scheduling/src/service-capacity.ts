import * as answerSpreads from './answer-spread.js';
import type * as callSpecs from './call-spec.js';
import * as runningCalls from './running-calls.js';
import * as serviceTimes from './service-time.js';
import * as throughputRatios from './throughput-ratio.js';
import * as upstreamChoices from './upstream-choice.js';
import * as upstreamSlots from './upstream-slots.js';

/** Service time assumed while no answer has shown one, in milliseconds; that of a typical plain call. */
const ASSUMED_SERVICE_MS = 50;

/**
 * Time after the start in which the load that upstreams state also counts, in milliseconds. The calls that other hosts
 * had sent before are not known yet, and most hosts report theirs within it.
 */
const LEARNING_MS = 1_000;

/** Options of `ServiceCapacity`. */
export interface ServiceCapacityOptions {
  readonly random: () => number;
  /** Share of the limits that may be used here; `undefined` if all calls of the service are scheduled here. */
  readonly getLimitShare?: (() => number) | undefined;
}

/** The upstreams of one service with the calls that hold slots there. */
export class ServiceCapacity {
  public readonly spread = new answerSpreads.AnswerSpread();
  public readonly running = new runningCalls.RunningCalls();
  private readonly throughput = new throughputRatios.ThroughputRatio();
  private upstreams = new Map<string, upstreamSlots.UpstreamSlots>();
  private typicalMs: number | undefined;
  private startedAt: number | undefined;

  public constructor(private readonly options: ServiceCapacityOptions) {}

  /** Sets the upstreams that take calls. What is known of a process is kept while it is listed. */
  public setUpstreams(upstreams: readonly callSpecs.SchedulableUpstream[]): void {
    const previous = this.upstreams;
    this.typicalMs = undefined;
    this.upstreams = new Map(
      upstreams.map((facts) => [
        facts.upstreamId,
        this.keepOrCreate(facts, previous.get(facts.upstreamId)),
      ]),
    );
  }

  /** Lists the upstreams. */
  public list(): upstreamSlots.UpstreamSlots[] {
    return [...this.upstreams.values()];
  }

  /** Lists the upstreams that may take a call. */
  public listAllowed({ excluded }: callSpecs.CallSpec): upstreamSlots.UpstreamSlots[] {
    return this.list().filter(({ facts }) => !excluded.includes(facts.upstreamId));
  }

  /** Returns whether any of the upstreams has a free slot. */
  public hasRoom(upstreams: readonly upstreamSlots.UpstreamSlots[], now: number): boolean {
    const countsOthers = this.countsOthers(now);
    return upstreams.some((item) => item.hasRoom(now, countsOthers));
  }

  /** Returns the number of calls per millisecond that upstreams can answer, without those that take none now. */
  public getCallsPerMs(upstreams: readonly upstreamSlots.UpstreamSlots[], now: number): number {
    return this.computeCallsPerMs(upstreams, now) * this.throughput.get();
  }

  /** Records whether calls wait for a slot from now on. */
  public observe(isWaiting: boolean, now: number): void {
    this.throughput.observe(isWaiting ? this.computeCallsPerMs(this.list(), now) : 0, now);
  }

  /** Returns the median of the usual service times, in milliseconds. */
  public getTypicalMs(now: number): number {
    this.typicalMs ??=
      serviceTimes.getMedianUsualMs(
        this.list().map(({ serviceTime }) => serviceTime),
        now,
      ) ?? ASSUMED_SERVICE_MS;
    return this.typicalMs;
  }

  /** Chooses the upstream of a call; `undefined` if it waits, behind `ahead` others that wait too. */
  public choose(
    spec: callSpecs.CallSpec,
    ahead: number,
    now: number,
  ): upstreamSlots.UpstreamSlots | undefined {
    const { getLimitShare, random } = this.options;
    const candidates = this.listAllowed(spec).filter((item) => item.mayReceive(spec.hostId, now));
    return upstreamChoices.chooseUpstream(candidates, {
      availabilityZone: spec.availabilityZone,
      typicalMs: this.getTypicalMs(now),
      countsOthers: this.countsOthers(now),
      isShared: getLimitShare !== undefined,
      ahead,
      random,
      now,
    });
  }

  /** Gives a slot to a call. */
  public start(spec: callSpecs.CallSpec, upstreamId: string, now: number): void {
    this.startedAt ??= now;
    const inFlight = this.running.count(upstreamId) + 1;
    this.running.add({ spec, upstreamId, inFlight, expiresAt: spec.expiresAt });
    this.upstreams.get(upstreamId)?.recordSend(spec, now);
  }

  /** Frees the slot of a call and records how it ended; returns whether it held one. */
  public end(callId: string, end: callSpecs.CallEnd, now: number): boolean {
    const call = this.running.remove(callId);
    if (call === undefined) {
      return false;
    }
    this.throughput.recordEnd();
    if (end.result === 'answered') {
      this.spread.record(end.tookMs / this.getTypicalMs(now));
    }
    this.upstreams.get(call.upstreamId)?.recordEnd(call, end, now);
    this.typicalMs = undefined;
    return true;
  }

  private computeCallsPerMs(
    upstreams: readonly upstreamSlots.UpstreamSlots[],
    now: number,
  ): number {
    const typicalMs = this.getTypicalMs(now);
    // What answers no calls does no work; it counts only where nothing else is known.
    const proven = upstreams.filter((item) => !item.isOnTrial(now));
    return (proven.length > 0 ? proven : upstreams)
      .filter((item) => item.getOpenAt(now) <= now)
      .reduce((sum, item) => sum + item.getCallsPerMs(typicalMs, now), 0);
  }

  private keepOrCreate(
    facts: callSpecs.SchedulableUpstream,
    known: upstreamSlots.UpstreamSlots | undefined,
  ): upstreamSlots.UpstreamSlots {
    const { processId, slots, upstreamId } = facts;
    if (known?.facts.processId === processId && known.facts.slots === slots) {
      known.facts = facts;
      return known;
    }
    if (known !== undefined && known.facts.processId !== processId) {
      this.running.removeWhere((call) => call.upstreamId === upstreamId);
    }
    return new upstreamSlots.UpstreamSlots(facts, {
      countRunning: () => this.running.count(upstreamId),
      getLimitShare: this.options.getLimitShare,
    });
  }

  private countsOthers(now: number): boolean {
    const isShared = this.options.getLimitShare !== undefined;
    return isShared || now - (this.startedAt ?? now) < LEARNING_MS;
  }
}
