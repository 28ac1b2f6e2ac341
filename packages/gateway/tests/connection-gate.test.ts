import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import * as connectionGates from '../src/connection-gate.js';

/** Time after the start in which the gate closes nothing, in milliseconds. */
const START_MS = 3_000;

function createGate() {
  const clock = new schemas.VirtualClock();
  const load = { utilization: 0.2 };
  const gate = new connectionGates.ConnectionGate({
    clock,
    log: new schemas.SilentLog(),
    metrics: new telemetry.TextMetrics(),
    measureUtilization: () => load.utilization,
  });
  void gate.run();
  const offer = (count: number) => Array.from({ length: count }, () => gate.admit());
  return { clock, gate, load, offer };
}

/** Offers connections at a rate, handles the first request of each one that is taken, and counts these. */
async function offerFor(
  { clock, gate }: ReturnType<typeof createGate>,
  perS: number,
  ms: number,
): Promise<number> {
  let taken = 0;
  for (let at = 0; at < ms; at += 1_000 / perS) {
    if (gate.admit()) {
      taken += 1;
      gate.recordFirstRequest();
    }
    await clock.advance(1_000 / perS);
  }
  return taken;
}

void tap.default.test(
  'a busy event loop closes no connection at the start, or for a moment',
  async (t) => {
    const fixture = createGate();
    fixture.load.utilization = 1;
    await fixture.clock.advance(START_MS - 100);
    t.notOk(fixture.offer(100).includes(false), 'while the host starts');
    await fixture.clock.advance(300);
    t.notOk(fixture.offer(100).includes(false), 'for the duration of a pause');
  },
);

void tap.default.test(
  'a saturated host takes no connection, and then what it can handle',
  async (t) => {
    const fixture = createGate();
    await fixture.clock.advance(START_MS);
    fixture.load.utilization = 1;
    await offerFor(fixture, 100, 600);
    t.notOk(fixture.offer(10).includes(true), 'none while the event loop is never idle');
    fixture.load.utilization = 0.9;
    await fixture.clock.advance(200);
    const taken = await offerFor(fixture, 300, 2_000);
    t.ok(taken >= 100 && taken <= 200, `${taken} in 2 s after 100 a second were too many`);
  },
);

void tap.default.test('the limit is lifted when the crowd is over', async (t) => {
  const fixture = createGate();
  await fixture.clock.advance(START_MS);
  fixture.load.utilization = 1;
  await offerFor(fixture, 100, 600);
  fixture.load.utilization = 0.3;
  await offerFor(fixture, 20, 5_000);
  t.equal(await offerFor(fixture, 20, 5_000), 100);
  t.notOk(fixture.offer(200).includes(false));
});
