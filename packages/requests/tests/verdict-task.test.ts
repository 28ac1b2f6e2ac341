import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const PART = routing.createPartId('engines', '', 'bad');

/** How early the timers of a busy process may fire, in milliseconds. */
const EARLY_MS = 0.5;

/** A clock whose sleeps end early, and which goes on while the process works. */
class EarlyClock extends schemas.VirtualClock {
  private workMs = 0;

  public override now(): number {
    this.workMs += EARLY_MS / 2;
    return super.now() + this.workMs;
  }

  public override sleep(ms: number): Promise<void> {
    return super.sleep(ms - EARLY_MS);
  }
}

function createTask(clock: schemas.Clock) {
  const ledger = new routing.CrashLedger();
  const barred: string[] = [];
  const task = new requests.VerdictTask({
    getLedger: () => ledger,
    clock,
    log: new schemas.SilentLog(),
    patienceMs: 0,
    onBarred: (partIds) => barred.push(...partIds),
  });
  const recordEnd = (processId: string, call = `call-${processId}`) => {
    const end = { processId, isEarly: true, wasAlone: false, calls: [call] };
    ledger.recordProcessEnd(PART, end, clock.now());
    task.schedule();
  };
  return { barred, recordEnd };
}

// Guards against a part that is never barred, because a timer fired just before its verdict was due.
void tap.default.test('a verdict is not lost to a timer that fires early', async (t) => {
  for (let runs = 0; runs < 20; runs += 1) {
    const clock = new EarlyClock();
    const { barred, recordEnd } = createTask(clock);
    await clock.advance(runs / 7);
    ['p1', 'p2', 'p3'].forEach((id) => recordEnd(id));
    await clock.advance(1_000);
    t.same(barred, [PART], `run ${runs}`);
  }
});

// Guards against a part that stays unjudged, because one call was lost at its first ends.
void tap.default.test('a part is judged again after a further end', async (t) => {
  const clock = new schemas.VirtualClock();
  const { barred, recordEnd } = createTask(clock);
  ['p1', 'p2', 'p3'].forEach((id) => recordEnd(id, 'same'));
  await clock.advance(1_000);
  t.same(barred, []);
  recordEnd('p4');
  await clock.advance(1_000);
  t.same(barred, [PART]);
});
