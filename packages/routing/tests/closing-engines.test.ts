import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as engineLedgers from '../src/engine-ledger.js';

const PAUSE_MS = 10;
const CLOSED_MS = 2_000;

/** Time after which a run on a sound engine begins, in milliseconds. */
const PREFILL_MS = 50;

/**
 * Places generations of hosts in turn on two engines, of which `e-2` is full and `e-1` closes each connection of some hosts
 * at once; returns how many of these and of others were placed on `e-1`.
 */
async function place(closedTo: readonly string[], engines = ['e-1', 'e-2']) {
  const clock = new schemas.VirtualClock();
  const ledger = new engineLedgers.EngineLedger();
  const facts = { memoryTokens: 100_000, availabilityZone: 'a', isClosed: false };
  ledger.setEngines(
    engines.map((engineId) => ({ ...facts, engineId, slots: engineId === 'e-1' ? 1_000 : 0 })),
  );
  const counts = { failed: 0, begun: 0 };
  for (let i = 0; i * PAUSE_MS < CLOSED_MS; i += 1) {
    const callId = `c${i}`;
    const hostId = `h${i % 3}`;
    const spec = { callId, availabilityZone: 'a', promptTokens: 20, answerTokens: 20, ranMs: 0 };
    const placed = ledger.place(
      { ...spec, leftMs: 30_000, excluded: [], wantsCopy: false },
      clock.now(),
    );
    if (placed !== undefined && closedTo.includes(hostId)) {
      counts.failed += 1;
      ledger.release(callId, true, clock.now() + 2, { hostId, hasAnswered: false });
    } else if (placed !== undefined) {
      counts.begun += 1;
      void clock.sleep(PREFILL_MS).then(() => {
        ledger.recordFirstEvent(callId, clock.now());
        ledger.release(callId, false, clock.now(), { hostId, hasAnswered: true });
      });
    }
    await clock.advance(PAUSE_MS);
  }
  return counts;
}

// Guards against an engine that closes each connection at once and gets all generations while others are full.
void tap.default.test('an engine that answers none gets one generation at a time', async (t) => {
  const { failed } = await place(['h0', 'h1', 'h2']);
  t.ok(failed >= 4 && failed <= 14, `${failed} of ${CLOSED_MS / PAUSE_MS}`);
  const { failed: alone } = await place(['h0', 'h1', 'h2'], ['e-1']);
  t.ok(alone >= 4 && alone <= 14, `${alone} where it is the only one`);
});

// Guards against a host that is cut off from an engine and takes it from all other hosts.
void tap.default.test('an engine that one host can’t reach is used by the others', async (t) => {
  const { begun } = await place([]);
  const { begun: others } = await place(['h0']);
  t.ok(others >= (begun / 3) * 2 * 0.95, `${others} of others, ${begun} without a cut`);
});
