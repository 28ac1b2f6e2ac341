import * as schemas from '@bramleyridge/schemas';

/** `Retry-After` of calls refused during a stop, in seconds: the caller can go to another host at once. */
const RETRY_AFTER_S = 0.1;

/** A call that a stop may end. */
export interface StoppableCall {
  /** Time limit of the call, on the host's clock. */
  readonly endsAt: number;
  /** Time within which its answer or the first event of it is due once the call is passed on, in milliseconds. */
  readonly targetMs: number;
  readonly isStream: boolean;
  isRepeatable(): boolean;
  /** Returns whether the call may have been passed on. */
  isSent(): boolean;
  /** Returns whether its answer has begun. */
  isAnswered(): boolean;
  /** Refuses what waits to be passed on, for the first time or again; a call that runs goes on. */
  refuse(refusal: schemas.Refusal): void;
  /** Ends the call; its caller gets the refusal. */
  end(refusal: schemas.Refusal): void;
}

/** The times of a planned stop, on the host's clock. */
export interface StopTimes {
  /** Time until which new calls are accepted. */
  readonly acceptsUntil: number;
  /** Time at which calls that still run are answered. */
  readonly endsAt: number;
}

/**
 * Lets a planned stop cut no call. What may last longer than the stop is refused as not run: a call that may run once from
 * the begin of the stop, any other from the time at which the host accepts no more calls, or from which its answer would be
 * due after the end. What was passed on gets an answer at the end.
 */
export class PlannedStop {
  private readonly calls = new Set<StoppableCall>();
  private times: StopTimes | undefined;
  /** Whether calls that may last longer than the stop are still passed on if they may be repeated. */
  private isAccepting = true;

  public constructor(private readonly clock: schemas.Clock) {}

  /** Adds a call, which ends at once if the host is stopping and it can't be served; the returned function removes it. */
  public add(call: StoppableCall): () => void {
    this.calls.add(call);
    this.limit(call);
    return () => {
      this.calls.delete(call);
    };
  }

  /** Begins the stop. */
  public begin(times: StopTimes): void {
    this.times = times;
    this.calls.forEach((call) => this.limit(call));
    this.runAt(times.acceptsUntil, () => this.endAccepting());
    this.runAt(times.endsAt, () => this.endAll());
  }

  /** Returns whether a call may be passed on now, for the first time or again. */
  public mayPassOn(call: StoppableCall): boolean {
    if (this.times === undefined || call.endsAt <= this.times.endsAt) {
      return true;
    }
    // Another host can't serve a call that may have run here, but of a stream most would be cut.
    const isTaken = this.isAccepting || (call.isSent() && !call.isStream);
    const isDueInTime = this.clock.now() + call.targetMs <= this.times.endsAt;
    return isTaken && isDueInTime && call.isRepeatable();
  }

  private runAt(time: number, run: () => void): void {
    setTimeout(run, Math.max(0, time - this.clock.now())).unref();
  }

  /** Refuses a call once it can't be answered before the end of the stop. */
  private limit(call: StoppableCall): void {
    if (!this.mayPassOn(call)) {
      call.refuse(createStoppingRefusal());
    } else if (this.times !== undefined && call.endsAt > this.times.endsAt) {
      this.runAt(this.times.endsAt - call.targetMs, () => this.refuseIfHere(call));
    }
  }

  /** A timer may fire earlier than the clock says, so what its call decides is not compared with the clock. */
  private endAccepting(): void {
    this.isAccepting = false;
    [...this.calls]
      .filter((call) => !this.mayPassOn(call))
      .forEach((call) => call.refuse(createStoppingRefusal()));
  }

  private refuseIfHere(call: StoppableCall): void {
    if (this.calls.has(call)) {
      call.refuse(createStoppingRefusal());
    }
  }

  private endAll(): void {
    this.calls.forEach((call) => {
      if (!call.isAnswered()) {
        call.end(call.isSent() ? createUnknownOutcome() : createStoppingRefusal());
      }
    });
  }
}

/** Creates the refusal of a call that the host can't serve before its stop is over. */
export function createStoppingRefusal(): schemas.Refusal {
  return new schemas.Refusal({
    id: 'draining',
    step: 'admit',
    status: 503,
    outcome: 'not-run',
    retryAfterS: RETRY_AFTER_S,
  });
}

function createUnknownOutcome(): schemas.Refusal {
  return new schemas.Refusal({ id: 'timeOver', step: 'stop', status: 504, outcome: 'unknown' });
}
