import * as requests from '@bramleyridge/requests';
import type * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as leavingEngineMonitors from '../src/leaving-engine-monitor.js';

/** Creates a monitor of one engine whose report the test sets. */
function createMonitor(clock: schemas.VirtualClock) {
  const engine = {
    report: false as boolean | Error,
    changes: 0,
    load: undefined as scheduling.StatedLoad | undefined,
    loads: [] as unknown[],
  };
  const monitor = new leavingEngineMonitors.LeavingEngineMonitor({
    probe: {
      probe: async () => {
        if (engine.report instanceof Error) {
          throw engine.report;
        }
        return Promise.resolve({
          isLeaving: engine.report,
          notice: requests.EMPTY_NOTICE,
          load: engine.load,
        });
      },
    },
    clock,
    log: new schemas.SilentLog(),
    isActive: () => true,
    pauseMs: 250,
    gate: requests.createLocalGate(clock, new schemas.SilentLog()),
    listEngines: () => [
      {
        service: 'engines',
        upstreamId: 'e1',
        processId: 'e1',
        address: '127.0.0.1:1',
        healthPath: '/health',
        hasRuns: true,
      },
    ],
    onLoad: ({ service, upstreamId }, { slowdown }) =>
      engine.loads.push([service, upstreamId, slowdown]),
    onChange: () => {
      engine.changes += 1;
    },
  });
  void monitor.run();
  return { engine, monitor };
}

void tap.default.test(
  'a leaving report takes effect at once, before the list shows it',
  async (t) => {
    // An engine has two seconds from its notice. The list shows the notice after one, when half of its runs can no
    // longer be copied.
    const clock = new schemas.VirtualClock();
    const { engine, monitor } = createMonitor(clock);
    await clock.advance(1_000);
    t.notOk(monitor.isLeaving('e1'));
    engine.report = true;
    await clock.advance(300);
    t.ok(monitor.isLeaving('e1'));
    t.equal(engine.changes, 1, 'notified once');
    monitor.stop();
  },
);

// Guards against a leader that forecasts the gaps of streams without the slowdowns that engines state.
void tap.default.test('the load stated with an answer is passed on', async (t) => {
  const clock = new schemas.VirtualClock();
  const { engine, monitor } = createMonitor(clock);
  await clock.advance(300);
  t.same(engine.loads, [], 'nothing from an engine that states none');
  engine.load = { running: 3, waiting: 0, slowdown: 2.5 };
  await clock.advance(250);
  t.same(engine.loads, [['engines', 'e1', 2.5]]);
  monitor.stop();
});

void tap.default.test('an engine with a false leaving report gets work again', async (t) => {
  // The health endpoint is wrong or fails for a while, and the list never shows the engine as leaving. If its report
  // were always trusted, a healthy engine would be idle all day.
  const clock = new schemas.VirtualClock();
  const { engine, monitor } = createMonitor(clock);
  engine.report = true;
  await clock.advance(1_000);
  t.ok(monitor.isLeaving('e1'));
  await clock.advance(2_000);
  t.notOk(monitor.isLeaving('e1'), 'the list did not confirm it');
  await clock.advance(10_000);
  t.notOk(monitor.isLeaving('e1'), 'and its next report is not trusted at once');
  monitor.stop();
});

void tap.default.test(
  'a missing answer is not a report, and a report can be withdrawn',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const { engine, monitor } = createMonitor(clock);
    engine.report = new Error('no answer');
    await clock.advance(1_000);
    t.notOk(monitor.isLeaving('e1'));
    engine.report = true;
    await clock.advance(500);
    engine.report = false;
    await clock.advance(500);
    t.notOk(monitor.isLeaving('e1'));
    t.equal(engine.changes, 2);
    monitor.stop();
  },
);

/** Creates a monitor of many engines and counts the probes of each. */
function createLargeMonitor(
  clock: schemas.VirtualClock,
  engineCount: number,
  runningCount: number,
) {
  const probes = new Map<string, number>();
  const state = {
    leaving: '',
    runningCount,
    notices: new Map<string, requests.UpstreamNotice>(),
  };
  const monitor = new leavingEngineMonitors.LeavingEngineMonitor({
    probe: {
      probe: async (address) => {
        probes.set(address, (probes.get(address) ?? 0) + 1);
        const isLeaving = address === state.leaving;
        return Promise.resolve({
          isLeaving,
          notice: state.notices.get(address) ?? requests.EMPTY_NOTICE,
          load: undefined,
        });
      },
    },
    clock,
    log: new schemas.SilentLog(),
    isActive: () => true,
    pauseMs: 200,
    gate: requests.createLocalGate(clock, new schemas.SilentLog()),
    listEngines: () =>
      Array.from({ length: engineCount }, (_, i) => ({
        service: 'engines',
        upstreamId: `e-${i}`,
        processId: `e-${i}`,
        address: `e-${i}`,
        healthPath: '/health',
        hasRuns: i < state.runningCount,
      })),
    onLoad: () => {},
    onChange: () => {},
  });
  void monitor.run();
  return { probes, state, monitor };
}

// Guards against a leader that spends its CPU time on probes of thousands of engines, of which few have runs.
void tap.default.test('of 3,000 engines only those with runs are probed', async (t) => {
  const clock = new schemas.VirtualClock();
  const { probes, monitor } = createLargeMonitor(clock, 3_000, 40);
  await clock.advance(990);
  t.equal(probes.size, 40);
  t.same([...new Set(probes.values())], [5], 'each in every round');
  monitor.stop();

  const all = createLargeMonitor(clock, 3_000, 3_000);
  await clock.advance(9_990);
  const total = [...all.probes.values()].reduce((sum, count) => sum + count, 0);
  t.ok(total <= 4_000, `${total} probes in ten seconds`);
  t.equal(all.probes.size, 3_000, 'and every engine is probed');
  all.monitor.stop();
});

// Guards against new work for an engine that leaves, as soon as it has no runs any more.
void tap.default.test('an engine that reported leaving is still probed without runs', async (t) => {
  const clock = new schemas.VirtualClock();
  const { state, monitor } = createLargeMonitor(clock, 100, 1);
  state.leaving = 'e-0';
  await clock.advance(300);
  t.ok(monitor.isLeaving('e-0'));
  state.runningCount = 0;
  await clock.advance(900);
  t.ok(monitor.isLeaving('e-0'));
  state.leaving = '';
  await clock.advance(300);
  t.notOk(monitor.isLeaving('e-0'), 'and can withdraw its report');
  monitor.stop();
});

// Guards against probes that use up the calls which a limited engine takes, or come while an engine rests.
void tap.default.test('probes keep limits and rests', async (t) => {
  const clock = new schemas.VirtualClock();
  const { monitor, probes, state } = createLargeMonitor(clock, 3, 3);
  const { EMPTY_NOTICE } = requests;
  state.notices.set('e-1', { ...EMPTY_NOTICE, limit: { kind: 'named', callsPerS: 0.5 } });
  state.notices.set('e-2', { ...EMPTY_NOTICE, rest: { kind: 'named', restMs: 3_000 } });
  await clock.advance(2_500);
  t.ok((probes.get('e-0') ?? 0) >= 12, `${probes.get('e-0')} where nothing is stated`);
  t.ok((probes.get('e-1') ?? 0) <= 3, `${probes.get('e-1')} at the limited one`);
  t.equal(probes.get('e-2'), 1, 'at the resting one');
  state.notices.clear();
  await clock.advance(2_000);
  t.ok((probes.get('e-2') ?? 0) > 3, 'again after the rest');
  monitor.stop();
});
