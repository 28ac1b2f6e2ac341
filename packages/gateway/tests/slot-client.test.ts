import * as tap from 'tap';

import type * as slotClients from '../src/slot-client.js';
import * as slotMessages from '../src/slot-messages.js';
import * as fixtures from './support/slot-fixture.js';

const ANSWERED = { result: 'answered', tookMs: 50 } as const;

/** Starts a request; its decision is set once it is known. */
function start(
  client: slotClients.SlotClient,
  ask: slotClients.SlotAsk,
  signal?: AbortSignal,
): { decision?: slotClients.SlotDecision; err?: unknown } {
  const state: { decision?: slotClients.SlotDecision; err?: unknown } = {};
  client.request(ask, signal).then(
    (decision) => {
      state.decision = decision;
    },
    (err: unknown) => {
      state.err = err;
    },
  );
  return state;
}

// Guards against slots that are returned twice, which would free the slot of another call, or not at all.
void tap.default.test('a slot is returned to the leader exactly once', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  const first = start(client, fixtures.createAsk('c1'));
  const second = start(client, fixtures.createAsk('c2'));
  await fixture.clock.advance(10);
  t.equal(first.decision?.slot?.upstreamId, 'u1');
  t.equal(second.decision, undefined, 'the second call waits for the slot');
  first.decision!.slot!.release(ANSWERED);
  first.decision!.slot!.releaseUnused();
  await fixture.clock.advance(10);
  t.equal(second.decision?.slot?.upstreamId, 'u1', 'it gets the slot at once');
  t.same(fixture.received, ['requestSlot c1', 'requestSlot c2', 'releaseSlot c1']);
  t.equal(fixture.countRunning('core-1'), 1);
});

// Guards against a slot that stays taken, or a call that runs, after its caller has left.
void tap.default.test('a caller that leaves withdraws its request', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  const first = start(client, fixtures.createAsk('c1'));
  const abort = new AbortController();
  const second = start(client, fixtures.createAsk('c2'), abort.signal);
  await fixture.clock.advance(10);
  abort.abort(new Error('left'));
  await fixture.clock.advance(10);
  t.match(second.err, { message: 'left' });
  first.decision!.slot!.release(ANSWERED);
  await fixture.clock.advance(10);
  t.equal(fixture.countRunning('core-1'), 0);
  const gone = start(client, fixtures.createAsk('c3'), abort.signal);
  await fixture.clock.advance(10);
  t.match(gone.err, { message: 'left' }, 'no request for one that left before');
  t.notOk(fixture.received.includes('requestSlot c3'));
});

// Guards against a shortage in which the loss of the leader stops all calls, or lets all of them through.
void tap.default.test('the leader is lost during a shortage', async (t) => {
  const fixture = new fixtures.SlotFixture();
  fixture.upstreams = [fixtures.createUpstream('u1', { slots: 8 })];
  const client = fixture.createClient('h1', 'i1', 4);
  fixture.silent.add('core-1');
  const first = start(client, fixtures.createAsk('c0'));
  await fixture.clock.advance(95);
  t.equal(first.decision, undefined, 'the leader may still answer');
  await fixture.clock.advance(10);
  t.equal(
    first.decision?.slot?.isAlone,
    true,
    'then this host decides, long before the call is due',
  );
  first.decision!.slot!.release(ANSWERED);
  const burst = Array.from({ length: 24 }, (_, i) =>
    start(client, fixtures.createAsk(`d${i}`, { dueInMs: 100, leftMs: 300 })),
  );
  await fixture.clock.advance(5);
  const granted = burst.filter(({ decision }) => decision?.slot !== undefined);
  t.equal(granted.length, 2, 'its share of the eight slots');
  const refused = burst.filter(({ decision }) => decision && decision.slot === undefined);
  t.ok(refused.length >= 8 && refused.length < 20, `${refused.length} of 24 are refused at once`);
  granted.forEach(({ decision }) => decision!.slot!.release(ANSWERED));
  await fixture.clock.advance(20);
  const later = burst.filter(({ decision }) => decision?.slot !== undefined);
  t.equal(later.length, 4, 'others follow as slots become free');
  t.same(fixture.received, [], 'the leader is left alone meanwhile');

  await fixture.clock.advance(350);
  const running = start(client, fixtures.createAsk('r1'));
  await fixture.clock.advance(5);
  t.equal(running.decision?.slot?.isAlone, true);
  fixture.silent.clear();
  await fixture.clock.advance(150);
  const after = start(client, fixtures.createAsk('e1'));
  await fixture.clock.advance(10);
  t.equal(after.decision?.slot?.isAlone, false, 'after half a second it is asked again');
  t.equal(fixture.received[0], 'reportSlots h1', 'and learns which calls run');
  t.same(fixture.events, ['scheduling-alone', 'scheduling-with-leader']);
  t.equal(fixture.countRunning('core-1'), 2);
});

// Guards against a leader with a queue that is taken for one that has lost power.
void tap.default.test(
  'a call waits at the leader for longer than an answer may take',
  async (t) => {
    const fixture = new fixtures.SlotFixture();
    const client = fixture.createClient();
    const first = start(client, fixtures.createAsk('c1'));
    const second = start(client, fixtures.createAsk('c2'));
    await fixture.clock.advance(250);
    t.equal(second.decision, undefined, 'it waits');
    first.decision!.slot!.release(ANSWERED);
    await fixture.clock.advance(10);
    t.equal(second.decision?.slot?.isAlone, false, 'it gets the slot from the leader');
    t.equal(fixture.countRunning('core-1'), 1);
    t.same(fixture.events, [], 'and the host has never scheduled alone');
  },
);

// Guards against a slot that is taken for a caller who has left while the host was told that the call waits.
void tap.default.test('a caller leaves between two requests for its slot', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  const first = start(client, fixtures.createAsk('c1'));
  const abort = new AbortController();
  const second = start(client, fixtures.createAsk('c2'), abort.signal);
  await fixture.clock.advance(120);
  abort.abort(new Error('gone'));
  await fixture.clock.advance(60);
  t.ok(second.err);
  first.decision!.slot!.release(ANSWERED);
  await fixture.clock.advance(60);
  t.equal(fixture.countRunning('core-1'), 0, 'no slot is taken');
});

// Guards against a new leader that gives slots a second time which calls hold already.
void tap.default.test('a new leader learns the running calls once', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  const other = fixture.createClient('h2');
  const first = start(client, fixtures.createAsk('c1'));
  await fixture.clock.advance(10);
  fixture.leader = 'core-2';
  const second = start(client, fixtures.createAsk('c2'));
  const third = start(other, fixtures.createAsk('c3', { dueInMs: 500 }));
  await fixture.clock.advance(50);
  t.same(
    fixture.received.filter((text) => text.startsWith('reportSlots')),
    ['reportSlots h1'],
  );
  t.same([second.decision, third.decision], [undefined, undefined], 'the slot is taken');
  first.decision!.slot!.release(ANSWERED);
  await fixture.clock.advance(10);
  const granted = [second, third].filter(({ decision }) => decision?.slot !== undefined);
  t.equal(granted.length, 1, 'it is given to one of them when the call ends');
});

// Guards against slots that a lost message, a dead host or a cut link keeps for longer than the call may last.
void tap.default.test('slots of hosts that are not heard of are freed', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  const first = start(client, fixtures.createAsk('c1', { leftMs: 800 }));
  await fixture.clock.advance(10);
  fixture.lostRequests.add('releaseSlot');
  first.decision!.slot!.release(ANSWERED);
  await fixture.clock.advance(10);
  t.equal(fixture.countRunning('core-1'), 1, 'the release is lost');
  const other = fixture.createClient('h2');
  const second = start(other, fixtures.createAsk('c2', { dueInMs: 1_500 }));
  await fixture.clock.advance(700);
  t.equal(second.decision, undefined);
  await fixture.clock.advance(120);
  t.equal(second.decision?.slot?.upstreamId, 'u1', 'free at the deadline of the call');

  const restarted = fixture.createClient('h2', 'i2');
  const third = start(restarted, fixtures.createAsk('c3'));
  await fixture.clock.advance(10);
  t.equal(third.decision?.slot?.upstreamId, 'u1', 'free when the host has restarted');
});

// Guards against a slot that stays taken until the deadline because the withdrawal arrived before the request.
void tap.default.test('a withdrawal that overtakes its request is repeated', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  const abort = new AbortController();
  fixture.delayMs.requestSlot = 5;
  const first = start(client, fixtures.createAsk('c1'), abort.signal);
  await fixture.clock.advance(1);
  abort.abort(new Error('left'));
  await fixture.clock.advance(30);
  t.match(first.err, { message: 'left' });
  t.same(fixture.received, ['releaseSlot c1', 'requestSlot c1', 'releaseSlot c1']);
  t.equal(fixture.countRunning('core-1'), 0);
});

// Guards against figures of a host that keep a slot taken, or distort what the leader has learned of an upstream.
void tap.default.test(
  'a release with invalid figures frees the slot and shows nothing',
  async (t) => {
    const fixture = new fixtures.SlotFixture();
    const client = fixture.createClient();
    const core = fixture.getCore('core-1');
    const getUpstream = () => core.listSummaries()[0]!.summary.upstreams[0];
    const known = start(client, fixtures.createAsk('c0'));
    await fixture.clock.advance(10);
    known.decision!.slot!.release(ANSWERED);
    await fixture.clock.advance(10);
    t.equal(getUpstream()?.usualMs, 50);
    for (const tookMs of [-5, NaN, Infinity, 1e300, 'x', undefined]) {
      const slot = start(client, fixtures.createAsk('c1'));
      await fixture.clock.advance(10);
      const { callId, service } = slot.decision!.slot!;
      const json = JSON.stringify({ callId, service, result: 'answered', tookMs });
      core.release(slotMessages.slotRelease.parse(JSON.parse(json)));
      t.equal(fixture.countRunning('core-1'), 0, `freed after ${tookMs} ms`);
      t.equal(getUpstream()?.usualMs, 50, 'and the usual time is the same');
    }
  },
);

// Guards against a slot that stays taken because the answer with it was lost.
void tap.default.test('a slot whose answer was lost is returned', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  fixture.lostAnswers.add('requestSlot');
  const first = start(client, fixtures.createAsk('c1'));
  await fixture.clock.advance(100);
  t.equal(fixture.countRunning('core-1'), 1);
  await fixture.clock.advance(500);
  t.equal(first.decision?.slot?.isAlone, true);
  t.equal(fixture.countRunning('core-1'), 0, 'returned as unused');
  first.decision!.slot!.release(ANSWERED);
});

// Guards against refusals by a leader that has not read the list of upstreams, and by one whose list is changed.
void tap.default.test('calls follow the leader’s list', async (t) => {
  const fixture = new fixtures.SlotFixture();
  fixture.upstreams = undefined;
  fixture.hostUpstreams = [fixtures.createUpstream('u1')];
  const client = fixture.createClient('h1', 'i1', 1);
  const first = start(client, fixtures.createAsk('c1'));
  await fixture.clock.advance(10);
  t.equal(first.decision?.slot?.isAlone, true, 'the host decides while the leader has no list');
  first.decision!.slot!.release(ANSWERED);

  fixture.upstreams = [fixtures.createUpstream('u1')];
  const [second, third] = ['c2', 'c3'].map((id) => start(client, fixtures.createAsk(id)));
  await fixture.clock.advance(10);
  t.equal(second!.decision?.slot?.upstreamId, 'u1');
  fixture.upstreams = [fixtures.createUpstream('u2')];
  await fixture.clock.advance(30);
  t.equal(third!.decision?.slot?.upstreamId, 'u2', 'a waiting call goes to one that is added');
  fixture.upstreams = [];
  const none = start(client, fixtures.createAsk('c4'));
  await fixture.clock.advance(10);
  t.match(none.decision, { reason: 'no-upstream', slot: undefined });
});

// Guards against requests that wait for ever at a host that no longer leads, and against slots of a former term.
void tap.default.test('a term starts without slots', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const core = fixture.getCore('core-1');
  core.startLeading(1);
  const client = fixture.createClient('h1', 'i1', 1);
  start(client, fixtures.createAsk('c1'));
  const second = start(client, fixtures.createAsk('c2'));
  await fixture.clock.advance(10);
  core.clear();
  await fixture.clock.advance(10);
  t.equal(fixture.countRunning('core-1'), 0);
  t.equal(second.decision, undefined, 'its host waits for its own slot, which c1 holds');
  core.startLeading(2);
  const third = start(fixture.createClient('h2'), fixtures.createAsk('c3'));
  await fixture.clock.advance(10);
  t.equal(third.decision?.slot?.isAlone, false);
  core.startLeading(2);
  t.equal(fixture.countRunning('core-1'), 1, 'the same term goes on');
});

// Guards against a log that grows with every call, and against lines that do not say why a call waited or was refused.
void tap.default.test('the leader logs slots only after a wait or a refusal', async (t) => {
  const fixture = new fixtures.SlotFixture();
  const client = fixture.createClient();
  const first = start(client, fixtures.createAsk('a~c1'));
  await fixture.clock.advance(10);
  t.same(fixture.coreLines, [], 'granted at once');
  const second = start(client, fixtures.createAsk('c2', { priority: 4 }));
  await fixture.clock.advance(60);
  first.decision!.slot!.release({ ...ANSWERED, load: { running: 0, waiting: 0, slowdown: 2 } });
  await fixture.clock.advance(10);
  const line = { decision: 'slot', service: 'app', team: 'x', weight: 3, limit: 1, inFlight: 1 };
  const granted = { ...line, request: 'c2', priority: 4, upstream: 'u1', waitedMs: 60 };
  t.match(fixture.coreLines, [{ ...granted, expectedMs: Number }]);
  t.match(second.decision, { expectedMs: Number, slowdown: 2 }, 'its host knows them too');
  const abort = new AbortController();
  start(client, fixtures.createAsk('c3', { team: undefined }), abort.signal);
  await fixture.clock.advance(10);
  abort.abort(new Error('left'));
  await fixture.clock.advance(10);
  t.equal(fixture.coreLines.length, 1, 'a withdrawn request is not refused');
  start(client, fixtures.createAsk('a~c4', { dueInMs: 5, leftMs: 5 }));
  await fixture.clock.advance(50);
  const refused = { ...line, request: 'a~c4', reason: 'no-time', retryAfterMs: Number };
  t.match(fixture.coreLines.slice(1), [refused]);
});
