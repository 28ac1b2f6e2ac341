import type * as http from 'node:http';

import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import * as suspectDesks from '../src/suspect-registry.js';
import * as suspectLinks from '../src/suspect-client.js';
import * as sites from './support/small-site.js';

const END = { processId: 'p1', isEarly: true, wasAlone: false };

async function createSite(t: tap.Test, upstreams: readonly (readonly [string, string])[]) {
  const site = new sites.SmallSite(t);
  await site.start(3);
  const servers = new Map<string, (req: http.IncomingMessage, res: http.ServerResponse) => void>();
  const addresses = new Map<string, string>();
  for (const [name, service] of upstreams) {
    const answer = (req: http.IncomingMessage, res: http.ServerResponse) =>
      servers.get(name)!(req, res);
    addresses.set(name, await site.addUpstream(name, service, answer));
  }
  await site.declare({});
  await site.until(
    'served',
    () => site.entry.isReady() && site.entry.directory.countLive() === upstreams.length,
  );
  return { site, servers, addresses };
}

function reply(req: http.IncomingMessage, res: http.ServerResponse): void {
  res.writeHead(200, { 'call-id': req.headers['call-id'], 'content-length': 2 });
  res.end('ok');
}

void tap.default.test('a call whose connections are reset is no suspect', async (t) => {
  // Something in between resets connections, and the upstream lives on. Callers that ask again must get their answer.
  const { servers, site } = await createSite(t, [['app-1', 'app']]);
  servers.set('app-1', (req) => req.socket.resetAndDestroy());
  for (let i = 0; i < 5; i += 1) {
    t.equal((await site.call('/once/x', {}, 'book')).status, 502);
  }
  servers.set('app-1', reply);
  t.equal((await site.call('/once/x', {}, 'book')).status, 200);
  t.notOk(site.lines.some(({ decision }) => decision === 'suspect'));
});

void tap.default.test('a call that ran on an upstream that left is no suspect', async (t) => {
  // An upstream that leaves as announced ends under what it still runs; that is its fault, not the call's.
  const { addresses, servers, site } = await createSite(t, [['app-1', 'app']]);
  servers.set('app-1', () => {
    site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, isLeaving: true }));
    void site
      .until('known to leave', () => site.entry.directory.countLive() === 0)
      .then(() => site.closeUpstream(addresses.get('app-1')!));
  });
  t.equal((await site.call('/once/x', {}, 'book')).status, 502);
  await site.until('found out', () => site.lines.some((line) => line.decision === 'run-lost'));
  t.match(
    site.lines.find(({ decision }) => decision === 'run-lost'),
    { isAnnounced: true },
  );
  // What must not come has time to come.
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  t.notOk(site.lines.some(({ decision }) => decision === 'suspect'));
});

void tap.default.test('a stream that ends its engines does not go on at a third', async (t) => {
  // Each engine ends when it begins to run the draft, and each has a copy of it at the next one. The draft used to go on
  // there, through up to seven engines in one call.
  const names = ['e-1', 'e-2', 'e-3', 'e-4', 'e-5', 'e-6'];
  const engines = names.map((name) => [name, 'engines'] as const);
  const { addresses, servers, site } = await createSite(t, engines);
  const ended: string[] = [];
  names.forEach((name) => {
    servers.set(name, (req, res) => {
      res.writeHead(200, { 'call-id': req.headers['call-id'] });
      res.write(`id: ${ended.length + 1}\ndata: a\n\n`);
      setTimeout(() => {
        ended.push(name);
        site.closeUpstream(addresses.get(name)!);
      }, 50);
    });
  });
  await t.rejects(site.call('/drafts/x', { tokens: '400' }, 'write'));
  t.equal(ended.length, 2);
  const refused = await site.call('/drafts/x', { tokens: '400' }, 'write');
  t.equal(refused.status, 503, 'and is refused when it comes again');
});

function createLink() {
  const clock = new schemas.VirtualClock();
  const leader = { isUp: false, permitMs: 0, taken: [] as unknown[], shared: [] as unknown[] };
  const ledger = new routing.CrashLedger();
  const link = new suspectLinks.SuspectClient({
    mesh: {
      get: () =>
        ({
          reportSuspects: {
            mutate: async (req: { runs: unknown[] }) => {
              if (!leader.isUp) {
                throw new Error('deadline');
              }
              leader.taken.push(...req.runs);
              return Promise.resolve({ term: 1 });
            },
          },
          permitSuspect: {
            mutate: async (_req: unknown, options: { context: { deadlineMs: number } }) => {
              if (leader.permitMs > options.context.deadlineMs) {
                throw new Error('deadline');
              }
              if (!leader.isUp) {
                throw new Error('deadline');
              }
              await clock.sleep(leader.permitMs);
              return { kind: 'go' };
            },
          },
          shareSuspects: {
            mutate: async (req: { suspects: unknown[] }) => {
              leader.shared.push(...req.suspects);
              return Promise.resolve({ term: 2 });
            },
          },
        }) as never,
    },
    findLeader: () => 'core',
    hostId: 'host',
    clock,
    log: new schemas.SilentLog(),
  });
  link.attach(ledger);
  return { clock, leader, ledger, link };
}

void tap.default.test('what a leader did not take is reported again', async (t) => {
  // The answer is lost, or there is no leader for a moment. An end that nobody hears of is one upstream more.
  const { clock, leader, link } = createLink();
  const run = { kind: 'ended', digest: 'bad', end: END } as const;
  link.report(run);
  await clock.advance(1_000);
  t.equal(leader.taken.length, 0);
  leader.isUp = true;
  await clock.advance(1_000);
  t.same(leader.taken, [run], 'and only once');
  link.stop();
});

// Guards against a suspect that is sent without a leave while its leader pauses, and then costs an upstream more.
void tap.default.test('a suspect waits for a leader that does not answer', async (t) => {
  const { clock, leader, link } = createLink();
  const ask = { digest: 'bad', processId: 'p2', mayShare: true };
  const asked = link.requestPermit(ask);
  await clock.advance(450);
  leader.isUp = true;
  await clock.advance(200);
  t.same(await asked, { kind: 'go' });

  leader.isUp = false;
  const unanswered = link.requestPermit(ask);
  await clock.advance(1_100);
  t.equal(await unanswered, undefined, 'but not for ever');
  link.stop();
});

// Guards against a good call that loses its chance to be cleared because the leader's disk is slow.
void tap.default.test('a leave that takes the leader long is not lost', async (t) => {
  const { clock, leader, link } = createLink();
  leader.isUp = true;
  leader.permitMs = 300;
  const asked = link.requestPermit({ digest: 'bad', processId: 'p2', mayShare: true });
  await clock.advance(400);
  t.same(await asked, { kind: 'go' });
  link.stop();
});

// Guards against a wait that ends before a slow leader's answer comes.
void tap.default.test('a leave that takes the leader most of a second is not lost', async (t) => {
  const { clock, leader, link } = createLink();
  leader.isUp = true;
  leader.permitMs = 700;
  const asked = link.requestPermit({ digest: 'bad', processId: 'p2', mayShare: true });
  await clock.advance(1_100);
  t.same(await asked, { kind: 'go' });
  link.stop();
});

/** A link to a leader whose answers are lost while the test says so; what was asked has been done all the same. */
function createLossyLink(clock: schemas.VirtualClock, quarantine: routing.QuarantineState) {
  const createDesk = (term: number) => {
    const desk = new suspectDesks.SuspectRegistry({
      clock,
      log: new schemas.SilentLog(),
      metrics: new telemetry.TextMetrics(),
      quarantine,
      propose: async (entry) => {
        await clock.sleep(8);
        quarantine.apply(entry);
      },
    });
    desk.startLeading(term);
    return desk;
  };
  const leader = { desk: createDesk(1), isAnswerLost: false, granted: 0 };
  const link = new suspectLinks.SuspectClient({
    mesh: {
      get: () =>
        ({
          reportSuspects: { mutate: async () => Promise.resolve({ term: 1 }) },
          permitSuspect: {
            mutate: async (req: never) => {
              const { desk } = leader;
              const answer = await desk.permit(req);
              if (leader.isAnswerLost || desk !== leader.desk) {
                await clock.sleep(500);
                throw new Error('deadline');
              }
              return answer;
            },
          },
        }) as never,
    },
    findLeader: () => 'core',
    hostId: 'host',
    clock,
    log: new schemas.SilentLog(),
  });
  link.attach(new routing.CrashLedger());
  return { createDesk, leader, link };
}

const HELD_RUNS = ['p1', 'p2', 'p3'].map(
  (processId) => ({ kind: 'ended', digest: 'good', end: { ...END, processId } }) as const,
);

// Guards against a good call that is refused for good because the answers to its two questions were lost.
void tap.default.test(
  'a leave whose answer is lost is there for the host that asks again',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const quarantine = new routing.QuarantineState();
    const { leader, link } = createLossyLink(clock, quarantine);
    leader.desk.report({ hostId: 'host', runs: HELD_RUNS });
    const ask = { digest: 'good', processId: 'p4', mayShare: true };
    for (let i = 0; i < 3; i += 1) {
      await clock.advance(12_000);
      leader.isAnswerLost = true;
      const unanswered = link.requestPermit(ask);
      await clock.advance(3_000);
      t.equal(await unanswered, undefined);
    }
    leader.isAnswerLost = false;
    const asked = link.requestPermit(ask);
    await clock.advance(100);
    t.same(await asked, { kind: 'go' }, 'however long after');
    t.equal(quarantine.list()[0]?.chances, 1, 'and is counted once');
    const second = link.requestPermit(ask);
    await clock.advance(100);
    t.match(await second, { kind: 'refused' }, 'but is given once');
    link.stop();
  },
);

// Guards against a good call that is refused for good because its later sends found processes that had just ended.
void tap.default.test('a leave whose send reaches no upstream is not used up', async (t) => {
  const clock = new schemas.VirtualClock();
  const quarantine = new routing.QuarantineState();
  const { leader, link } = createLossyLink(clock, quarantine);
  leader.desk.report({ hostId: 'host', runs: HELD_RUNS });
  for (let i = 0; i < 3; i += 1) {
    await clock.advance(12_000);
    const asked = link.requestPermit({ digest: 'good', processId: `p${4 + i}`, mayShare: true });
    await clock.advance(100);
    const permit = await asked;
    t.same(permit, { kind: 'go' });
    leader.desk.report({
      hostId: 'host',
      runs: [{ kind: 'over', digest: 'good', processId: `p${4 + i}` }],
    });
    link.keepUnusedPermit(permit!);
  }
  t.equal(quarantine.list()[0]?.chances, 1, 'counted once');
  link.stop();
});

// Guards against the same where the leader is killed between the log's commit and its answer.
void tap.default.test(
  'a leave that a former leader wrote and did not answer is not lost',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const quarantine = new routing.QuarantineState();
    const { createDesk, leader, link } = createLossyLink(clock, quarantine);
    leader.desk.report({ hostId: 'host', runs: HELD_RUNS });
    await clock.advance(4_000);
    leader.isAnswerLost = true;
    const unanswered = link.requestPermit({ digest: 'good', processId: 'p4', mayShare: true });
    await clock.advance(3_000);
    t.equal(await unanswered, undefined);
    leader.desk = createDesk(2);
    leader.isAnswerLost = false;
    const asked = link.requestPermit({ digest: 'good', processId: 'p5', mayShare: true });
    await clock.advance(100);
    t.same(await asked, { kind: 'go' });
    t.equal(quarantine.list()[0]?.chances, 1);
    link.stop();
  },
);

void tap.default.test('what a leader has not heard yet stays known here', async (t) => {
  // The leader's word takes the place of what the host knows, also when it was on its way before the host's report.
  const { ledger, link } = createLink();
  const changes = { revision: 0, isWhole: true, suspects: [], cleared: [] };
  link.applyUpdates({ term: 1, changes });
  ledger.recordProcessEnd('bad', END, 0);
  link.report({ kind: 'ended', digest: 'bad', end: END });
  link.applyUpdates({ term: 1, changes });
  t.equal(ledger.getStanding('bad'), 'suspect');
  link.stop();
  return Promise.resolve();
});

void tap.default.test(
  'that a quarantined call is sent once more is in the log first',
  async (t) => {
    // A leader that allowed it and was lost would be followed by one that allows it again.
    const quarantine = new routing.QuarantineState();
    const clock = new schemas.VirtualClock();
    const isWritable = { now: true };
    const desk = new suspectDesks.SuspectRegistry({
      clock,
      log: new schemas.SilentLog(),
      metrics: new telemetry.TextMetrics(),
      quarantine,
      propose: async (entry) => {
        if (!isWritable.now) {
          throw new Error('no majority');
        }
        quarantine.apply(entry);
        return Promise.resolve();
      },
    });
    desk.startLeading(1);
    const ends = ['p1', 'p2', 'p3'].map((processId) => ({ ...END, processId }));
    const runs = ends.map((end) => ({ kind: 'ended', digest: 'bad', end }) as const);
    desk.report({ hostId: 'host', runs });
    await clock.advance(5_000);
    const ask = { hostId: 'host', digest: 'bad', processId: 'p4', mayShare: true };
    isWritable.now = false;
    await t.rejects(desk.permit(ask), 'not allowed where it can’t be written');
    isWritable.now = true;
    await clock.advance(10_000);
    t.same(await desk.permit(ask), { kind: 'go' });
    t.equal(quarantine.list()[0]?.chances, 2);
  },
);

function createLeaderDesk(clock: schemas.VirtualClock, quarantine: routing.QuarantineState) {
  return new suspectDesks.SuspectRegistry({
    clock,
    log: new schemas.SilentLog(),
    metrics: new telemetry.TextMetrics(),
    quarantine,
    propose: async (entry) => Promise.resolve(quarantine.apply(entry)),
  });
}

// Guards against a host that leads again and refuses what was cleared while another one led.
void tap.default.test('a host that leads again starts from what the log holds', async (t) => {
  const clock = new schemas.VirtualClock();
  const quarantine = new routing.QuarantineState();
  const desk = createLeaderDesk(clock, quarantine);
  desk.startLeading(1);
  desk.report({ hostId: 'host', runs: HELD_RUNS });
  await clock.advance(10);
  t.equal(quarantine.list().length, 1);
  quarantine.apply({ quarantine: { kind: 'cleared', digest: 'good' } });
  desk.startLeading(3);
  t.same(desk.findUpdates({ term: 1, revision: 0 }, 3)?.changes.suspects, []);
  t.same(quarantine.list(), [], 'and does not put it into the log again');
});

// Guards against an upstream more for a call that comes again before its host knows what its first run did.
void tap.default.test('a run that nobody was asked about proves as much as another', async (t) => {
  const clock = new schemas.VirtualClock();
  const desk = createLeaderDesk(clock, new routing.QuarantineState());
  const tell = (digest: string, processId: string) =>
    desk.report({ hostId: 'host', runs: [{ kind: 'ended', digest, end: { ...END, processId } }] });
  const getStanding = (digest: string) => {
    const { suspects } = desk.findUpdates({ term: -1, revision: 0 }, 1)!.changes;
    return routing.getStanding(suspects.find((facts) => facts.digest === digest)!);
  };
  desk.startLeading(1);
  tell('early', 'p1');
  tell('early', 'p2');
  t.equal(getStanding('early'), 'suspect', 'not while the leader may lack runs of the time before');
  await clock.advance(3_000);
  tell('bad', 'p3');
  tell('good', 'p3');
  tell('bad', 'p4');
  t.equal(getStanding('bad'), 'quarantined', 'no other suspect ran there');
  tell('good', 'p4');
  t.equal(getStanding('good'), 'suspect', 'another one did');
  const ask = { hostId: 'host', digest: 'good', processId: 'p8', mayShare: true };
  t.same(
    await desk.permitWithFacts(ask),
    { kind: 'go', isAlone: true },
    'and a host is told of others',
  );
});

void tap.default.test('a new leader is told before its word is taken', async (t) => {
  // It knows nothing of suspects that are in no log. A host that took its empty account at once would forget them, and each
  // would have an upstream more.
  const { clock, leader, ledger, link } = createLink();
  const changes = { revision: 0, isWhole: true, suspects: [], cleared: [] };
  link.applyUpdates({ term: 1, changes });
  ledger.recordProcessEnd('bad', END, 0);
  link.applyUpdates({ term: 2, changes });
  t.equal(ledger.getStanding('bad'), 'suspect', 'its word is not taken yet');
  await clock.advance(100);
  t.match(leader.shared, [{ digest: 'bad' }]);
  link.applyUpdates({ term: 2, changes: { ...changes, cleared: ['bad'] } });
  t.equal(ledger.getStanding('bad'), 'free', 'and then it is');
  link.stop();
});

void tap.default.test(
  'a host that has just started takes the first word of a leader',
  async (t) => {
    // It is ready with that answer. A call that came before the next one was sent as if nothing were known.
    const { link, ledger } = createLink();
    const suspects = [{ digest: 'bad', ends: [END], chances: 0 }];
    link.applyUpdates({ term: 1, changes: { revision: 1, isWhole: true, suspects, cleared: [] } });
    t.equal(ledger.getStanding('bad'), 'suspect');
    link.stop();
    return Promise.resolve();
  },
);
