import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as leavingWatches from '../src/leaving-engine-monitor.js';

/** A watch over one engine, whose word the test sets. */
function createWatch(clock: schemas.VirtualClock) {
  const engine = { word: false as boolean | Error, changes: 0 };
  const watch = new leavingWatches.LeavingEngineMonitor({
    probe: {
      isLeaving: async () => {
        if (engine.word instanceof Error) {
          throw engine.word;
        }
        return Promise.resolve(engine.word);
      },
    },
    clock,
    log: new schemas.SilentLog(),
    isActive: () => true,
    pauseMs: 250,
    listEngines: () => [
      { upstreamId: 'e1', address: '127.0.0.1:1', healthPath: '/health', hasRuns: true },
    ],
    onChange: () => {
      engine.changes += 1;
    },
  });
  void watch.run();
  return { engine, watch };
}

void tap.default.test('an engine that says so leaves at once, long before the list', async (t) => {
  // It has two seconds from its notice; the list shows it after one, when half of its runs cannot be copied any more.
  const clock = new schemas.VirtualClock();
  const { engine, watch } = createWatch(clock);
  await clock.advance(1_000);
  t.notOk(watch.isLeaving('e1'));
  engine.word = true;
  await clock.advance(300);
  t.ok(watch.isLeaving('e1'));
  t.equal(engine.changes, 1, 'told once');
  watch.stop();
});

void tap.default.test('an engine that says so falsely gets work again', async (t) => {
  // Its health answer is wrong, or it fails for a while; the list never shows it as leaving. Shunned for as long as it
  // says so, a healthy engine would stand idle all day.
  const clock = new schemas.VirtualClock();
  const { engine, watch } = createWatch(clock);
  engine.word = true;
  await clock.advance(1_000);
  t.ok(watch.isLeaving('e1'));
  await clock.advance(2_000);
  t.notOk(watch.isLeaving('e1'), 'the list did not confirm it');
  await clock.advance(10_000);
  t.notOk(watch.isLeaving('e1'), 'and its word is not taken again at once');
  watch.stop();
});

void tap.default.test('silence is no word, and a word is taken back', async (t) => {
  const clock = new schemas.VirtualClock();
  const { engine, watch } = createWatch(clock);
  engine.word = new Error('no answer');
  await clock.advance(1_000);
  t.notOk(watch.isLeaving('e1'));
  engine.word = true;
  await clock.advance(500);
  engine.word = false;
  await clock.advance(500);
  t.notOk(watch.isLeaving('e1'));
  t.equal(engine.changes, 2);
  watch.stop();
});

/** A watch over many engines, and how often each was asked. */
function createWideWatch(clock: schemas.VirtualClock, engineCount: number, runningCount: number) {
  const asked = new Map<string, number>();
  const state = { leaving: '', runningCount };
  const watch = new leavingWatches.LeavingEngineMonitor({
    probe: {
      isLeaving: async (address) => {
        asked.set(address, (asked.get(address) ?? 0) + 1);
        return Promise.resolve(address === state.leaving);
      },
    },
    clock,
    log: new schemas.SilentLog(),
    isActive: () => true,
    pauseMs: 200,
    listEngines: () =>
      Array.from({ length: engineCount }, (_, i) => ({
        upstreamId: `e-${i}`,
        address: `e-${i}`,
        healthPath: '/health',
        hasRuns: i < state.runningCount,
      })),
    onChange: () => {},
  });
  void watch.run();
  return { asked, state, watch };
}

// Guards against a leader that spends its processor on questions to thousands of engines, of which few run anything.
void tap.default.test(
  '3,000 engines: few questions, to those on which something runs',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const { asked, watch } = createWideWatch(clock, 3_000, 40);
    await clock.advance(990);
    t.equal(asked.size, 40);
    t.same([...new Set(asked.values())], [5], 'each in every round');
    watch.stop();

    const all = createWideWatch(clock, 3_000, 3_000);
    await clock.advance(9_990);
    const total = [...all.asked.values()].reduce((sum, count) => sum + count, 0);
    t.ok(total <= 4_000, `${total} questions in ten seconds`);
    t.equal(all.asked.size, 3_000, 'and every engine has its turn');
    all.watch.stop();
  },
);

// Guards against new work for an engine that leaves, as soon as nothing runs there any more.
void tap.default.test(
  'an engine that said that it leaves is asked on when it is empty',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const { state, watch } = createWideWatch(clock, 100, 1);
    state.leaving = 'e-0';
    await clock.advance(300);
    t.ok(watch.isLeaving('e-0'));
    state.runningCount = 0;
    await clock.advance(900);
    t.ok(watch.isLeaving('e-0'));
    state.leaving = '';
    await clock.advance(300);
    t.notOk(watch.isLeaving('e-0'), 'and is heard when it takes that back');
    watch.stop();
  },
);
