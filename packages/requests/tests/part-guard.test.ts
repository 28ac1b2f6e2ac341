import * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const PART = routing.createPartId('', 'drafter', 'shared');

/** Time after which a call is sent whatever becomes of the others, in milliseconds. */
const MAX_WAIT_MS = 1_000;

function createSubject(requestId: string): requests.RunSubject {
  return { requestId, getDigest: () => `digest-${requestId}`, listPartIds: () => [PART] };
}

/** A guard, with calls that wait for their turn since a burst of them arrived at once. */
function createBurst(ends: number, calls: number) {
  const clock = new schemas.VirtualClock();
  const ledger = new routing.CrashLedger();
  const sharing = { report: () => {}, requestPermit: async () => undefined };
  const log = new schemas.SilentLog();
  const guard = new requests.PartGuard({ ledger, sharing, patienceMs: 0, clock, log });
  const sent: requests.RunSubject[] = [];
  const end = (i: number) => guard.recordEnd(createSubject(`lost-${i}`), `process-${i}`);
  Array.from({ length: ends }, (_, i) => end(i));
  const waiting = Array.from({ length: calls }, async (_, i) => {
    const subject = createSubject(`call-${i}`);
    await guard.awaitTurn(subject);
    if (guard.findRefusal(subject) === undefined) {
      sent.push(subject);
    }
  });
  return { clock, end, guard, sent, waiting };
}

// Guards against calls that were held back together, each of which ends an engine because all are sent at once.
void tap.default.test(
  'a burst of calls with a bad part ends no more engines than due',
  async (t) => {
    const { clock, end, guard, sent, waiting } = createBurst(2, 20);
    for (let i = 0; i < 20; i += 1) {
      await clock.advance(20);
      sent.slice(i, i + 1).forEach((subject) => {
        end(100 + i);
        guard.endTurn(subject);
      });
    }
    await clock.advance(MAX_WAIT_MS);
    await Promise.all(waiting);
    t.equal(sent.length, 1);
  },
);

// Guards against sound calls that wait for longer than a second because their part was at ends by chance.
void tap.default.test('calls with a sound part are all sent soon', async (t) => {
  const { clock, guard, sent, waiting } = createBurst(2, 20);
  await clock.advance(100);
  t.equal(sent.length, 1);
  guard.recordAnswer(sent[0]!);
  guard.endTurn(sent[0]!);
  await clock.advance(1);
  t.equal(sent.length, 20);
  await Promise.all(waiting);

  const silent = createBurst(2, 20);
  await silent.clock.advance(MAX_WAIT_MS);
  t.equal(silent.sent.length, 20, 'the first one shows nothing');
  await Promise.all(silent.waiting);
});

void tap.default.test('calls with a part at one end are sent at once', async (t) => {
  const { clock, sent } = createBurst(1, 5);
  await clock.advance(0);
  t.equal(sent.length, 5);
});
