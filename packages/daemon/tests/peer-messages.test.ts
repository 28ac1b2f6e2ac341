import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as claimServices from '../src/claim-service.js';
import * as peerRouters from '../src/peer-router.js';
import * as suspectExchanges from '../src/suspect-exchange.js';

const claimSeats = ['a-1', 'a-2', 'a-3'].map((daemonId) => ({ daemonId, since: 1 }));

const generation: routing.RunningGeneration = {
  generation: 'a.a-2.1.1',
  daemonId: 'a-2',
  upstreamId: 'engine-1',
  team: 'sales',
  intent: 'drafts',
  workClass: 'interactive',
  promptTokens: 10,
  maxTokens: 10,
  tokens: 0,
};

const facts = { digest: 'd1', ends: [], chances: 0 };

/** A router whose handlers record what they are given. */
function createRouter() {
  const reports: unknown[] = [];
  const lines: object[] = [];
  const record = async (report: unknown) => Promise.resolve(reports.push(report) > 0);
  const handlers: unknown = { pool: record, reportSuspects: record, recover: record };
  const log = Object.assign(new schemas.SilentLog(), { warn: (line: object) => lines.push(line) });
  const router = peerRouters.createPeerRouter(handlers as peerRouters.PeerHandlers, log);
  return { caller: router.createCaller({}), lines, reports };
}

// Guards against one unreadable generation that keeps the owner of a pool from all that its daemon reports.
void tap.default.test('unreadable generations of a report are left out', async (t) => {
  const { caller, lines, reports } = createRouter();
  const report = {
    model: 'drafter',
    daemonId: 'a-2',
    prefix: 'a.a-2.1.',
    isWhole: true,
    tokens: [1, 7],
    finished: [],
    registered: [{ ...generation, workClass: 'idle' }, generation, null, 10n],
    leaving: [],
  };
  await caller.pool(report);
  await caller.pool(report);
  t.match(reports[0], { tokens: [1, 7], registered: [generation] });
  t.equal((reports[0] as peerRouters.PoolReport).registered.length, 1);
  t.match(lines, [{ event: 'pool-report-unreadable', count: 3, peer: 'a-2' }], 'logged once');
  await t.rejects(caller.pool({ ...report, tokens: 'x' as never }), 'a bad frame is refused');
});

// Guards against one unreadable suspect that keeps a daemon from all that another one tells.
void tap.default.test('unreadable suspects of a report are left out', async (t) => {
  const { caller, reports } = createRouter();
  const run = { kind: 'served', digest: 'd2' };
  await caller.reportSuspects({
    daemonId: 'a-2',
    availabilityZone: 'a',
    isPassedOn: false,
    runs: [{ kind: 'paused' }, run],
    facts: [{ digest: 7 }, facts],
  });
  t.match(reports, [{ runs: [run], facts: [facts] }]);
});

// Guards against a slot number that makes an acceptor allocate and send billions of epochs.
void tap.default.test('a slot number out of range is refused', async (t) => {
  const { caller, reports } = createRouter();
  for (const seat of [-1, 4_294_967_294, 1.5]) {
    await t.rejects(caller.recover({ seat, mark: [1, 1], cursor: 0 }), String(seat));
  }
  t.equal(reports.length, 0);
});

/** A daemon whose peers answer each request with `answer`. */
function createAnswering(answer: unknown) {
  const call = { mutate: async () => Promise.resolve(answer) };
  const api = { listSuspects: call, permitSuspect: call, claim: call, recover: call };
  return { get: () => api, getAt: () => api };
}

// Guards against the list of another daemon that ends a daemon at its start.
void tap.default.test('the suspects that another daemon lists are read one by one', async (t) => {
  const answers = [null, 7, {}, [null], [{ digest: 'x' }], [{ ...facts, ends: [null] }, facts]];
  for (const answer of answers) {
    const clock = new schemas.VirtualClock();
    const options: unknown = {
      cfg: { daemonId: 'a-1', availabilityZone: 'a', peers: [] },
      view: { getDirectory: () => ({ members: [{ daemonId: 'a-2', state: 'live' }] }) },
      mesh: createAnswering(answer),
      clock,
      log: new schemas.SilentLog(),
    };
    const exchange = new suspectExchanges.SuspectExchange(
      options as suspectExchanges.SuspectExchangeOptions,
    );
    const run = exchange.run();
    exchange.stop();
    await clock.advance(1_000);
    await t.resolves(run, JSON.stringify(answer));
  }
});

// Guards against an acceptor's answer that ends the daemon that claims a call.
void tap.default.test('an unreadable answer of an acceptor counts as none', async (t) => {
  for (const answer of [null, {}, { ok: true, seat: 1, marks: 7, promised: [0, ''] }]) {
    const options: unknown = {
      cfg: { daemonId: 'a-1', host: 'h', peerPort: 1, timings: { claimDeadlineMs: 100 } },
      incarnation: 1,
      clock: new schemas.SystemClock(),
      log: new schemas.SilentLog(),
      store: { get: () => ({ claimSeats }) },
      mesh: createAnswering(answer),
      calls: {},
      random: () => 0,
    };
    const service = new claimServices.ClaimService(options as claimServices.ClaimServiceOptions);
    await t.rejects(service.claim('key', 'call', 'engine-1', 'hash'), JSON.stringify(answer));
  }
});
