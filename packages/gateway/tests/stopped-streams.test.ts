import * as v8 from 'node:v8';
import * as vm from 'node:vm';

import * as tap from 'tap';

import type * as smallSites from './support/small-site.js';
import * as stoppedRuns from './support/stopped-runs.js';
import * as unmarkedEngines from './support/unmarked-engines.js';

type LastOrder = unmarkedEngines.LastOrder;

/** Time within which a call ends, in milliseconds: that of an order without an answer, and of one more run. */
const MAX_MS = 4_000;

/** Time for which a caller waits that is shorter than an order may take, in milliseconds. */
const SHORT_PATIENCE_MS = 2_000;

/** Time by which the end of a call may be later than its time limit, in milliseconds. */
const MAX_LATE_MS = 500;

/** Time within which a host reads from the list that an engine has restarted, in milliseconds. */
const ANSWER_AFTER_RESTART_MS = 2_000;

/** Interval at which unused memory is collected, in milliseconds. */
const COLLECT_INTERVAL_MS = 100;

/** What becomes of a run whose stop was ordered and whose connection then ends; it made one event of two before. */
const STOPPED: Readonly<Record<string, Readonly<Record<string, LastOrder>>>> = {
  'the engine says so': {
    made: { run: 'stopped', result: 'made' },
    'made, said after the end': { run: 'stopped', result: 'made', answerAfterMs: 300 },
    'made, said before the end': { run: 'stopped', result: 'made', closeAfterMs: 300 },
    'no room': { run: 'stopped', result: 'no-room' },
    'no room, run kept': { run: 'stopped', result: 'no-room-kept' },
  },
  'the engine does not say so': {
    lost: { run: 'stopped', result: 'lost' },
    'lost before the end': { run: 'stopped', result: 'lost', closeAfterMs: 300 },
    'not answered': { run: 'stopped', result: 'unanswered' },
  },
};

/** The same for a run that makes its last event itself. */
const ENDED: Readonly<Record<string, LastOrder>> = {
  'before the order': { run: 'ended-before', result: 'no-run' },
  'before the order, said late': { run: 'ended-before', result: 'no-run', answerAfterMs: 300 },
  'order refused': { run: 'ended-after', result: 'busy', closeAfterMs: 300 },
  'order lost': {
    run: 'ended-after',
    result: 'lost',
    closeAfterMs: 300,
    nextFraming: 'chunked',
  },
};

/** The paths to upstreams, and the framings that are played over them. */
const PATHS = {
  'over the host itself': { isCut: false, framings: Object.keys(unmarkedEngines.FRAMINGS) },
  'through another host': { isCut: true, framings: ['none', 'chunked'] },
} as const;

for (const [path, { framings, isCut }] of Object.entries(PATHS)) {
  for (const framing of framings as readonly unmarkedEngines.FramingName[]) {
    const { isMarked } = unmarkedEngines.FRAMINGS[framing];

    for (const [name, lastOrders] of Object.entries(STOPPED)) {
      // Guards against a stream that ends as complete where this host has stopped its run for a migration.
      void tap.default.test(`a stopped stream goes on, ${name}, ${framing}, ${path}`, async (t) => {
        const { first, results, second } = await stoppedRuns.playStoppedRuns(
          t,
          framing,
          lastOrders,
          isCut,
        );
        for (const { answer, callId, sends, tookMs } of results) {
          t.equal(answer.body, unmarkedEngines.WHOLE, `${callId}: each event comes once`);
          t.ok(answer.isWhole, `${callId}: the answer is whole`);
          const isKept = lastOrders[callId]!.result === 'no-room-kept';
          t.same(sends, [first, isKept ? first : second], `${callId}: it goes on from the copy`);
          t.ok(tookMs < MAX_MS, `${callId}: it ends in time (${tookMs} ms)`);
        }
      });
    }

    // Guards against a whole stream that is broken off, or sent again, because its run was to be stopped too late.
    void tap.default.test(`an ended stream is whole, ${framing}, ${path}`, async (t) => {
      const { results } = await stoppedRuns.playStoppedRuns(t, framing, ENDED, isCut);
      for (const { answer, callId, sends, tookMs } of results) {
        t.equal(answer.body, unmarkedEngines.WHOLE, `${callId}: each event comes once`);
        t.ok(answer.isWhole, `${callId}: the answer is whole`);
        const isUnknown = ENDED[callId]!.result === 'lost' && !isMarked;
        t.equal(sends.length, isUnknown ? 2 : 1, `${callId}: it goes on only if nobody knows`);
        t.ok(tookMs < MAX_MS, `${callId}: it ends in time (${tookMs} ms)`);
      }
    });
  }
}

// Guards against a caller who is kept waiting past its time limit for what came of an order.
void tap.default.test('a stopped stream ends at its time limit', async (t) => {
  const lastOrders = { 'not answered': { run: 'stopped', result: 'unanswered' } } as const;
  const { results } = await stoppedRuns.playStoppedRuns(t, 'none', lastOrders, false, {
    patienceMs: SHORT_PATIENCE_MS,
  });
  for (const { answer, lastedMs, tookMs } of results) {
    t.ok(tookMs > 0, `the run was stopped before (${tookMs} ms)`);
    t.notOk(answer.isWhole, 'the answer breaks off');
    t.ok(lastedMs < SHORT_PATIENCE_MS + MAX_LATE_MS, `it does so in time (${lastedMs} ms)`);
  }
});

// Guards against a stream that ends as complete since a process that took its engine's place does not know its run.
void tap.default.test('a stream of an engine that has restarted goes on', async (t) => {
  const lastOrders = {
    'no run': { run: 'stopped', result: 'no-run', answerAfterMs: ANSWER_AFTER_RESTART_MS },
  } as const;
  const onLastOrder = (site: smallSites.SmallSite) => {
    site.list.upstreams = site.list.upstreams.map((item) =>
      item.upstreamId === 'e-1' ? { ...item, bornMs: 2_000 } : item,
    );
  };
  const { first, results, second } = await stoppedRuns.playStoppedRuns(
    t,
    'none',
    lastOrders,
    false,
    { onLastOrder },
  );
  for (const { answer, sends } of results) {
    t.equal(answer.body, unmarkedEngines.WHOLE, 'each event comes once');
    t.ok(answer.isWhole, 'the answer is whole');
    t.same(sends, [first, second], 'it goes on from the copy');
  }
});

// Guards against a part that counts as a whole answer because the engine with the copy has nothing to send.
void tap.default.test('a stopped stream whose copy has no events breaks off', async (t) => {
  const lastOrders = {
    made: { run: 'stopped', result: 'made', nextFraming: 'chunked', isNextEmpty: true },
    kept: { run: 'stopped', result: 'no-room-kept', nextFraming: 'chunked', isNextEmpty: true },
  } as const;
  for (const framing of ['none', 'chunked'] as const) {
    const { results } = await stoppedRuns.playStoppedRuns(t, framing, lastOrders, false);
    for (const { answer, callId, sends } of results) {
      t.equal(sends.length, 2, `${framing}, ${callId}: it goes on from the copy`);
      t.notOk(answer.isWhole, `${framing}, ${callId}: the part does not look whole`);
    }
  }
});

// Guards against a timeout that is collected with the memory of its signal, so that an order never ends.
void tap.default.test('an order that is not answered ends while memory is collected', async (t) => {
  v8.setFlagsFromString('--expose-gc');
  const collect = vm.runInNewContext('gc') as () => void;
  const timer = setInterval(collect, COLLECT_INTERVAL_MS);
  t.teardown(() => clearInterval(timer));
  const lastOrders = { 'not answered': { run: 'stopped', result: 'unanswered' } } as const;
  const { results } = await stoppedRuns.playStoppedRuns(t, 'none', lastOrders, false);
  for (const { answer, tookMs } of results) {
    t.equal(answer.body, unmarkedEngines.WHOLE, 'each event comes once');
    t.ok(answer.isWhole, 'the answer is whole');
    t.ok(tookMs < MAX_MS, `it ends in time (${tookMs} ms)`);
  }
});

// Guards against a run that stays at a leaving engine since one order to stop it was ignored.
void tap.default.test('a run whose stop was ignored is ordered to stop again', async (t) => {
  const lastOrders = {
    ignored: { run: 'ended-after', result: 'busy', closeAfterMs: 1_000 },
  } as const;
  let orders = 0;
  const onLastOrder = () => {
    orders += 1;
  };
  const { results } = await stoppedRuns.playStoppedRuns(t, 'none', lastOrders, false, {
    onLastOrder,
  });
  for (const { answer, sends } of results) {
    t.equal(answer.body, unmarkedEngines.WHOLE, 'each event comes once');
    t.ok(answer.isWhole, 'the answer is whole');
    t.equal(sends.length, 1, 'it ends at its engine');
  }
  t.ok(orders > 1, `it was ordered to stop ${orders} times`);
});
