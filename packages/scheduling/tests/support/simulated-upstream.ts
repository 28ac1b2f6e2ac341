import type * as scheduling from '@bramleyridge/scheduling';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Spread of the logarithm of service times, share of calls in their tail and how many times as long those take. */
const SPREAD = 0.5;
const TAIL_SHARE = 0.01;
const TAIL_FACTOR = 5;

/** Options of `SimulatedUpstream`. */
export interface SimulatedUpstreamOptions {
  /** Calls that it runs at once, whatever it declares. */
  readonly slots: number;
  /** Calls that may wait; it sheds the others. */
  readonly queueLength: number;
  /** Mean service time without a slowdown, in milliseconds. */
  readonly serviceMs: number;
  readonly random: () => number;
  readonly getSlowdown?: (now: number) => number;
}

/** A call that has ended. */
export interface EndedCall {
  readonly callId: number;
  readonly tookMs: number;
  /** Calls in progress when it was sent, including itself. */
  readonly inFlight: number;
}

interface Call {
  readonly callId: number;
  readonly sentAt: number;
  readonly inFlight: number;
  leftMs: number;
}

/** Creates a generator of random numbers between 0 and 1. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => uniform.uniformFloat64(generator);
}

/** Draws a service time: lognormal, with one call in a hundred that takes five times as long. */
export function drawServiceMs(meanMs: number, random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const mean = Math.exp(SPREAD ** 2 / 2) * (1 + TAIL_SHARE * (TAIL_FACTOR - 1));
  const tail = random() < TAIL_SHARE ? TAIL_FACTOR : 1;
  return ((meanMs * Math.exp(SPREAD * normal)) / mean) * tail;
}

/** Returns a slowdown that is 2.5 in spells of 600 ms and 1 otherwise, 15% of the time. */
export function createSpells(startsAt: number, untilMs = Infinity): (now: number) => number {
  return (now) => {
    const isActive = now >= startsAt && now < untilMs && (now - startsAt) % 4_000 < 600;
    return isActive ? 2.5 : 1;
  };
}

/** An upstream in virtual time that runs some calls at once, queues some and sheds the rest. */
export class SimulatedUpstream {
  /** Work that it has completed, in milliseconds without a slowdown. */
  public doneMs = 0;
  /** Work that it could have completed. */
  public possibleMs = 0;
  private readonly calls: Call[] = [];

  public constructor(private readonly options: SimulatedUpstreamOptions) {}

  /** The number of calls in progress. */
  public get inFlight(): number {
    return this.calls.length;
  }

  /** Sends a call; returns whether it was accepted. */
  public send(callId: number, now: number): boolean {
    const { queueLength, random, serviceMs, slots } = this.options;
    if (this.calls.length >= slots + queueLength) {
      return false;
    }
    const leftMs = drawServiceMs(serviceMs, random);
    this.calls.push({ callId, sentAt: now, inFlight: this.calls.length + 1, leftMs });
    return true;
  }

  /** Runs the calls for one millisecond that ends now; returns those that have ended. */
  public step(now: number): EndedCall[] {
    const { slots } = this.options;
    const work = 1 / this.getSlowdown(now);
    const running = this.calls.slice(0, slots);
    running.forEach((call) => {
      call.leftMs -= work;
    });
    this.doneMs += running.length * work;
    this.possibleMs += slots * work;
    const ended = running.filter(({ leftMs }) => leftMs <= 0);
    ended.forEach((call) => this.calls.splice(this.calls.indexOf(call), 1));
    return ended.map(({ callId, inFlight, sentAt }) => ({
      callId,
      inFlight,
      tookMs: now - sentAt,
    }));
  }

  /** Returns how many times as long as usual work takes now. */
  public getSlowdown(now: number): number {
    return this.options.getSlowdown?.(now) ?? 1;
  }

  /** Returns the load as an upstream states it that declares the given number of slots. */
  public getLoad(now: number, slots = this.options.slots): Required<scheduling.StatedLoad> {
    const running = Math.min(this.calls.length, this.options.slots);
    const waiting = this.calls.length - running;
    return { running, waiting, slots, slowdown: this.getSlowdown(now) };
  }
}
