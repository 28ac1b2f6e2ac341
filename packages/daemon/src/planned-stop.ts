import type * as http from 'node:http';

import * as schemas from '@bramleyridge/schemas';

/** Longest time for which new calls are accepted, which the load balancer may still send, in milliseconds. */
const ACCEPT_MS = 1_000;

/** Share of the time for a stop in which new calls are accepted, at most. */
const ACCEPT_SHARE = 0.25;

/** Time in which the last answers are sent and connections end, in milliseconds. */
const CLOSE_MS = 2_000;

/** Share of the time for a stop that this takes, at most. */
const CLOSE_SHARE = 0.25;

/** `Retry-After` of calls refused during a stop, in seconds. */
const RETRY_AFTER_S = 1;

/** A call that a stop may end. */
export interface StoppableCall {
  readonly res: http.ServerResponse;
  /** Time that its answer may take once it is passed on, in milliseconds. */
  readonly answerMs: number;
  /** Whether it may concern a run already, as a resend with a key does. */
  readonly mayHaveRun: boolean;
  /** Answers the call in place of its handler. */
  refuse(refusal: schemas.Refusal): void;
}

type CallState = 'waiting' | 'sent' | 'ended';

/** The times of a stop, on the daemon's clock. */
interface StopTimes {
  readonly acceptsUntil: number;
  /** Time at which calls that still run are answered. */
  readonly answersUntil: number;
  /** Time at which connections are closed. */
  readonly closesAt: number;
}

/**
 * Lets a planned stop cut no call. What can't be answered before its end is refused as not run, and what was passed on is
 * answered at its end at the latest.
 */
export class PlannedStop {
  private readonly calls = new Map<StoppableCall, CallState>();
  private readonly byResponse = new Map<http.ServerResponse, StoppableCall>();
  private times: StopTimes | undefined;

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly stopMs: number,
  ) {}

  /** Begins the stop. */
  public begin(): void {
    const now = this.clock.now();
    const closeMs = Math.min(CLOSE_MS, this.stopMs * CLOSE_SHARE);
    this.times = {
      acceptsUntil: now + Math.min(ACCEPT_MS, this.stopMs * ACCEPT_SHARE),
      answersUntil: now + this.stopMs - closeMs,
      closesAt: now + this.stopMs - closeMs / 2,
    };
    this.calls.forEach((_state, call) => this.limit(call));
    this.runAt(this.times.answersUntil, () => {
      this.calls.forEach((_state, call) => this.answer(call));
    });
  }

  /** Waits until everything has ended, but no longer than until connections must be closed. */
  public async wait(runAll: (timeoutMs: number) => Promise<unknown>): Promise<void> {
    const timeoutMs = (this.times?.closesAt ?? Infinity) - this.clock.now();
    const ended = new AbortController();
    await Promise.race([
      runAll(timeoutMs).finally(() => ended.abort()),
      this.clock.sleep(timeoutMs, ended.signal).catch(() => {}),
    ]);
  }

  /** Returns whether new calls are accepted. */
  public isAccepting(): boolean {
    return this.times === undefined || this.clock.now() < this.times.acceptsUntil;
  }

  /** Returns whether streams that still run must end. */
  public isOver(): boolean {
    return this.times !== undefined && this.clock.now() >= this.times.answersUntil;
  }

  /** Adds a call; the returned function removes it. */
  public add(call: StoppableCall): () => void {
    this.calls.set(call, 'waiting');
    this.byResponse.set(call.res, call);
    this.limit(call);
    return () => {
      this.calls.delete(call);
      this.byResponse.delete(call.res);
    };
  }

  /** Notes that a call is passed on; throws a refusal if it can't be answered before the end of the stop. */
  public send(res: http.ServerResponse): void {
    const call = this.byResponse.get(res);
    if (call === undefined) {
      return;
    }
    if (this.hasEnded(res) || this.isTooLate(call)) {
      throw createStoppingRefusal();
    }
    this.calls.set(call, 'sent');
  }

  /** Notes that a call that was passed on did not run, so that it waits again. */
  public recordNotRun(res: http.ServerResponse): void {
    const call = this.byResponse.get(res);
    if (call !== undefined && this.calls.get(call) === 'sent') {
      this.calls.set(call, 'waiting');
      this.limit(call);
    }
  }

  /** Returns whether a call was answered by the stop. */
  public hasEnded(res: http.ServerResponse): boolean {
    const call = this.byResponse.get(res);
    return call !== undefined && this.calls.get(call) === 'ended';
  }

  /** Refuses a call once it can no longer be passed on. */
  private limit(call: StoppableCall): void {
    if (this.times === undefined || call.mayHaveRun) {
      return;
    }
    this.runAt(this.times.answersUntil - call.answerMs, () => {
      if (this.calls.get(call) === 'waiting') {
        this.end(call, createStoppingRefusal());
      }
    });
  }

  private isTooLate({ answerMs }: StoppableCall): boolean {
    return this.times !== undefined && this.clock.now() + answerMs > this.times.answersUntil;
  }

  private answer(call: StoppableCall): void {
    const isNotRun = this.calls.get(call) === 'waiting' && !call.mayHaveRun;
    this.end(call, isNotRun ? createStoppingRefusal() : createUnknownOutcome());
  }

  private end(call: StoppableCall, refusal: schemas.Refusal): void {
    if (!call.res.headersSent && this.calls.get(call) !== 'ended') {
      this.calls.set(call, 'ended');
      call.refuse(refusal);
    }
  }

  private runAt(time: number, run: () => void): void {
    const waitMs = time - this.clock.now();
    if (waitMs > 0) {
      setTimeout(run, waitMs).unref();
    } else {
      run();
    }
  }
}

/** Creates the refusal of a call that the daemon can't serve before its stop is over. */
export function createStoppingRefusal(outcome: schemas.Outcome = 'not-run'): schemas.Refusal {
  return new schemas.Refusal({
    id: 'draining',
    step: 'admit',
    status: 503,
    outcome,
    retryAfterS: RETRY_AFTER_S,
  });
}

function createUnknownOutcome(): schemas.Refusal {
  return new schemas.Refusal({ id: 'timeOver', step: 'stop', status: 504, outcome: 'unknown' });
}
