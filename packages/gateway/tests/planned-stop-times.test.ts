import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as plannedStops from '../src/planned-stop.js';

/** Time until a stop accepts no more calls, in milliseconds. */
const ACCEPT_MS = 30;

/** Time by which timers fire early, in milliseconds; Node.js cuts both the start and the length of a timer to milliseconds. */
const EARLY_MS = 1.9;

/** Time after which the timers of a test have fired, in milliseconds. */
const FIRED_MS = 100;

const clock = new schemas.SystemClock();

/** A clock that stands at a time. */
class SetClock extends schemas.SystemClock {
  public time = 0;

  public override now(): number {
    return this.time;
  }
}

interface CallKind {
  readonly isStream?: boolean;
  readonly isOnce?: boolean;
  readonly isSent?: boolean;
}

/** A call that waits, with a time limit beyond the end of the stop. */
class WaitingCall implements plannedStops.StoppableCall {
  public readonly endsAt = 20_000;
  public readonly targetMs = 100;
  public ended: schemas.Refusal | undefined;

  public constructor(private readonly kind: CallKind = {}) {}

  public get isStream(): boolean {
    return this.kind.isStream === true;
  }

  public isRepeatable(): boolean {
    return this.kind.isOnce !== true;
  }

  public isSent(): boolean {
    return this.kind.isSent === true;
  }

  public isAnswered(): boolean {
    return false;
  }

  public refuse(refusal: schemas.Refusal): void {
    this.end(refusal);
  }

  public end(refusal: schemas.Refusal): void {
    this.ended ??= refusal;
  }
}

// Guards against waiting calls that are passed on late in a stop and cut, because the timer for them fired early.
void tap.default.test('a timer of a stop fires before its time', async (t) => {
  const hostClock = new SetClock();
  const stop = new plannedStops.PlannedStop(hostClock);
  const queued = new WaitingCall();
  stop.add(queued);
  stop.begin({ acceptsUntil: ACCEPT_MS, endsAt: 10_000 });
  t.equal(queued.ended, undefined, 'it may still be passed on');
  hostClock.time = ACCEPT_MS - EARLY_MS;
  await clock.sleep(FIRED_MS);
  t.equal(queued.ended?.options.outcome, 'not-run', 'a call that waits is refused');
  const late = new WaitingCall();
  stop.add(late);
  t.equal(late.ended?.options.outcome, 'not-run', 'so is one that comes then');
});

// Guards against another attempt in a stop that is cut at its end, and against one that is withheld though it would be served.
void tap.default.test('attempts while a host stops', async (t) => {
  const hostClock = new SetClock();
  const stop = new plannedStops.PlannedStop(hostClock);
  const mayPassOn = (kind: CallKind = {}) => stop.mayPassOn(new WaitingCall(kind));
  t.ok(mayPassOn({ isOnce: true, isSent: true }), 'any before a stop');
  stop.begin({ acceptsUntil: ACCEPT_MS, endsAt: 10_000 });
  t.ok(mayPassOn() && mayPassOn({ isStream: true }), 'first ones while calls are accepted');
  t.notOk(mayPassOn({ isOnce: true, isSent: true }), 'of a call that may run once and last longer');
  await clock.sleep(FIRED_MS);
  t.notOk(mayPassOn(), 'first ones later');
  t.ok(mayPassOn({ isSent: true }), 'others of a call whose answer is due in time');
  t.notOk(mayPassOn({ isSent: true, isStream: true }), 'others of a stream');
  hostClock.time = 9_950;
  t.notOk(mayPassOn({ isSent: true }), 'others whose answer is due after the end');
});
