import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const MB = 1_024 * 1_024;
const RETENTION_MS = 600_000;

function createDone(bytes: number, mark = 'a'): requests.CallState {
  const answer = { status: 200, headers: {}, body: Buffer.alloc(bytes, mark) };
  return { state: 'done', answer };
}

async function getMark(registry: requests.CallRegistry, call: string): Promise<string> {
  const state = await registry.await(call, 0);
  return state.state === 'done' ? String.fromCharCode(state.answer.body[0]!) : state.state;
}

void tap.default.test(
  'new keys are refused where there is no room, and no call is forgotten',
  async (t) => {
    // Guards against keys without end that fill the memory, and against a resend that no longer finds its call.
    const clock = new schemas.VirtualClock();
    const registry = new requests.CallRegistry(clock, 100);
    registry.open('first', 'a');
    registry.set('first', createDone(10, 'f'));
    let isTrue = true;
    const opened = Array.from({ length: 1_000 }, (_, i) => {
      try {
        registry.open(`c${i}`, 'a');
        registry.set(`c${i}`, createDone(10));
        return true;
      } catch (err) {
        const refusal = requests.toRefusal(err);
        isTrue = isTrue && refusal.options.status === 503 && refusal.options.outcome === 'not-run';
        return false;
      }
    }).filter(Boolean).length;
    t.ok(isTrue, 'the refusals promise that the calls did not run');
    t.equal(opened, 49, 'a team has half of the room');
    registry.open('other', 'b');
    t.equal(registry.count(), 51, 'others have the rest');
    t.equal(await getMark(registry, 'first'), 'f');
    await clock.advance(RETENTION_MS + 1);
    registry.open('late', 'a');
    t.equal(await getMark(registry, 'first'), 'lost', 'room returns once nobody may resend');
  },
);

void tap.default.test('responses are dropped of the team that has the most', async (t) => {
  // Guards against a team whose large answers make those of others unavailable to resends.
  const registry = new requests.CallRegistry(new schemas.VirtualClock());
  registry.open('small', 'b');
  registry.set('small', createDone(10, 's'));
  for (let i = 0; i < 12; i += 1) {
    registry.open(`c${i}`, 'a');
    registry.set(`c${i}`, createDone(4 * MB, 'l'));
  }
  t.equal(await getMark(registry, 'small'), 's');
  t.equal(await getMark(registry, 'c0'), 'lost', 'the oldest are gone');
  t.equal(await getMark(registry, 'c11'), 'l');
  t.equal(registry.count(), 13, 'but no call is');
});

void tap.default.test('a call that runs for long does not keep others from expiring', async (t) => {
  // Guards against a registry that grows for as long as its oldest call runs.
  const clock = new schemas.VirtualClock();
  const registry = new requests.CallRegistry(clock);
  registry.open('long', 'a');
  registry.open('short', 'a');
  registry.set('short', createDone(10));
  await clock.advance(RETENTION_MS + 1);
  registry.open('next', 'a');
  t.equal(registry.count(), 2);
  t.equal(await getMark(registry, 'long'), 'running');
});
