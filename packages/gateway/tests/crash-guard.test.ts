import type * as http from 'node:http';

import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import * as suspectRegistries from '../src/suspect-registry.js';
import * as suspectClients from '../src/suspect-client.js';
import * as sites from './support/small-site.js';

const END = { processId: 'p1', isEarly: true, wasAlone: false };

async function createSite(t: tap.Test, upstreams: readonly (readonly [string, string])[]) {
  const site = new sites.SmallSite(t);
  site.answersProbes = true;
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

void tap.default.test('a call whose connections are reset is not a suspect', async (t) => {
  // A device in between resets connections while the upstream keeps running. Callers that retry must get their answer.
  const { servers, site } = await createSite(t, [['app-1', 'app']]);
  servers.set('app-1', (req) => req.socket.resetAndDestroy());
  for (let i = 0; i < 5; i += 1) {
    t.equal((await site.call('/once/x', {}, 'book')).status, 502);
  }
  servers.set('app-1', reply);
  t.equal((await site.call('/once/x', {}, 'book')).status, 200);
  t.notOk(site.lines.some(({ decision }) => decision === 'suspect'));
});

void tap.default.test('a call that ran on an upstream that left is not a suspect', async (t) => {
  // An upstream that leaves as announced exits during its remaining runs, which the calls have not caused.
  const { addresses, servers, site } = await createSite(t, [['app-1', 'app']]);
  servers.set('app-1', () => {
    site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, isLeaving: true }));
    void site
      .until('listed as leaving', () => site.entry.directory.countLive() === 0)
      .then(() => site.closeUpstream(addresses.get('app-1')!));
  });
  t.equal((await site.call('/once/x', {}, 'book')).status, 502);
  await site.until('run-lost logged', () =>
    site.lines.some((line) => line.decision === 'run-lost'),
  );
  t.match(
    site.lines.find(({ decision }) => decision === 'run-lost'),
    { isAnnounced: true },
  );
  // Waits long enough for a wrong suspect decision to be logged.
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  t.notOk(site.lines.some(({ decision }) => decision === 'suspect'));
});

void tap.default.test(
  'a stream that crashes its engines does not continue on a third one',
  async (t) => {
    // Each engine crashes when it starts to run the generation, and the next engine holds a backup of it. Without the
    // check the generation continues there, through up to seven engines in one call.
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
    t.equal(refused.status, 503, 'a repeated call is refused');
  },
);

function createClient() {
  const clock = new schemas.VirtualClock();
  const leader = { isUp: false, permitMs: 0, taken: [] as unknown[], shared: [] as unknown[] };
  const ledger = new routing.CrashLedger();
  const client = new suspectClients.SuspectClient({
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
  client.attach(ledger);
  return { clock, leader, ledger, client };
}

void tap.default.test('a report that no leader has received is sent again', async (t) => {
  // The answer is lost, or there is no leader for a moment. Each crash that is not reported costs one more upstream.
  const { clock, leader, client } = createClient();
  const run = { kind: 'ended', digest: 'bad', end: END } as const;
  client.report(run);
  await clock.advance(1_000);
  t.equal(leader.taken.length, 0);
  leader.isUp = true;
  await clock.advance(1_000);
  t.same(leader.taken, [run], 'and only once');
  client.stop();
});

// Guards against a suspect that is sent without a permit while its leader pauses and then crashes one more upstream.
void tap.default.test('a suspect waits for a leader that does not answer', async (t) => {
  const { clock, leader, client } = createClient();
  const request = { digest: 'bad', processId: 'p2', mayShare: true };
  const pending = client.requestPermit(request);
  await clock.advance(450);
  leader.isUp = true;
  await clock.advance(200);
  t.same(await pending, { kind: 'go' });

  leader.isUp = false;
  const unanswered = client.requestPermit(request);
  await clock.advance(1_100);
  t.equal(await unanswered, undefined, 'but not indefinitely');
  client.stop();
});

// Guards against a good call that cannot be cleared because the leader's disk is slow.
void tap.default.test('a permit that the leader grants after 300 ms is not lost', async (t) => {
  const { clock, leader, client } = createClient();
  leader.isUp = true;
  leader.permitMs = 300;
  const pending = client.requestPermit({ digest: 'bad', processId: 'p2', mayShare: true });
  await clock.advance(400);
  t.same(await pending, { kind: 'go' });
  client.stop();
});

// Guards against a wait that ends before a slow leader's answer arrives.
void tap.default.test('a permit that the leader grants after 700 ms is not lost', async (t) => {
  const { clock, leader, client } = createClient();
  leader.isUp = true;
  leader.permitMs = 700;
  const pending = client.requestPermit({ digest: 'bad', processId: 'p2', mayShare: true });
  await clock.advance(1_100);
  t.same(await pending, { kind: 'go' });
  client.stop();
});

/**
 * Creates a client of a leader whose answers are lost while the test sets so; the requests are executed nevertheless.
 */
function createLossyClient(clock: schemas.VirtualClock, quarantine: routing.QuarantineState) {
  const createRegistry = (term: number) => {
    const registry = new suspectRegistries.SuspectRegistry({
      clock,
      log: new schemas.SilentLog(),
      metrics: new telemetry.TextMetrics(),
      quarantine,
      propose: async (entry) => {
        await clock.sleep(8);
        quarantine.apply(entry);
      },
    });
    registry.startLeading(term);
    return registry;
  };
  const leader = { registry: createRegistry(1), isAnswerLost: false, granted: 0 };
  const client = new suspectClients.SuspectClient({
    mesh: {
      get: () =>
        ({
          reportSuspects: { mutate: async () => Promise.resolve({ term: 1 }) },
          permitSuspect: {
            mutate: async (req: never) => {
              const { registry } = leader;
              const answer = await registry.permit(req);
              if (leader.isAnswerLost || registry !== leader.registry) {
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
  client.attach(new routing.CrashLedger());
  return { createRegistry, leader, client };
}

const QUARANTINING_RUNS = ['p1', 'p2', 'p3'].map(
  (processId) => ({ kind: 'ended', digest: 'good', end: { ...END, processId } }) as const,
);

// Guards against a good call that is refused permanently because the answers to its two permit requests were lost.
void tap.default.test(
  'a permit whose answer is lost is returned to a repeated request',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const quarantine = new routing.QuarantineState();
    const { leader, client } = createLossyClient(clock, quarantine);
    leader.registry.report({ hostId: 'host', runs: QUARANTINING_RUNS });
    const request = { digest: 'good', processId: 'p4', mayShare: true };
    for (let i = 0; i < 3; i += 1) {
      await clock.advance(12_000);
      leader.isAnswerLost = true;
      const unanswered = client.requestPermit(request);
      await clock.advance(3_000);
      t.equal(await unanswered, undefined);
    }
    leader.isAnswerLost = false;
    const pending = client.requestPermit(request);
    await clock.advance(100);
    t.same(await pending, { kind: 'go' }, 'after any time');
    t.equal(quarantine.list()[0]?.chances, 1, 'and is counted once only');
    const second = client.requestPermit(request);
    await clock.advance(100);
    t.match(await second, { kind: 'refused' }, 'but is granted once only');
    client.stop();
  },
);

// Guards against a good call that is refused permanently because its later sends reached processes that had just
// exited.
void tap.default.test('a permit whose send reaches no upstream is not used up', async (t) => {
  const clock = new schemas.VirtualClock();
  const quarantine = new routing.QuarantineState();
  const { leader, client } = createLossyClient(clock, quarantine);
  leader.registry.report({ hostId: 'host', runs: QUARANTINING_RUNS });
  for (let i = 0; i < 3; i += 1) {
    await clock.advance(12_000);
    const pending = client.requestPermit({
      digest: 'good',
      processId: `p${4 + i}`,
      mayShare: true,
    });
    await clock.advance(100);
    const permit = await pending;
    t.same(permit, { kind: 'go' });
    leader.registry.report({
      hostId: 'host',
      runs: [{ kind: 'over', digest: 'good', processId: `p${4 + i}` }],
    });
    client.keepUnusedPermit(permit!);
  }
  t.equal(quarantine.list()[0]?.chances, 1, 'counted once');
  client.stop();
});

// Guards against a good call that is refused permanently because the leader was killed between the commit of the entry
// and its answer.
void tap.default.test(
  'a permit that a former leader logged and did not answer is not lost',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const quarantine = new routing.QuarantineState();
    const { createRegistry, leader, client } = createLossyClient(clock, quarantine);
    leader.registry.report({ hostId: 'host', runs: QUARANTINING_RUNS });
    await clock.advance(4_000);
    leader.isAnswerLost = true;
    const unanswered = client.requestPermit({ digest: 'good', processId: 'p4', mayShare: true });
    await clock.advance(3_000);
    t.equal(await unanswered, undefined);
    leader.registry = createRegistry(2);
    leader.isAnswerLost = false;
    const pending = client.requestPermit({ digest: 'good', processId: 'p5', mayShare: true });
    await clock.advance(100);
    t.same(await pending, { kind: 'go' });
    t.equal(quarantine.list()[0]?.chances, 1);
    client.stop();
  },
);

void tap.default.test(
  'a suspect that the leader has not received yet stays in the ledger',
  async (t) => {
    // The leader's updates replace the suspects of the host, even if they were sent before the host's report arrived.
    const { ledger, client } = createClient();
    const changes = { revision: 0, isWhole: true, suspects: [], cleared: [] };
    client.applyUpdates({ term: 1, changes });
    ledger.recordProcessEnd('bad', END, 0);
    client.report({ kind: 'ended', digest: 'bad', end: END });
    client.applyUpdates({ term: 1, changes });
    t.equal(ledger.getStanding('bad'), 'suspect');
    client.stop();
    return Promise.resolve();
  },
);

void tap.default.test('an additional send of a quarantined call is logged first', async (t) => {
  // Otherwise the successor of a leader that failed after its permit would permit the send again.
  const quarantine = new routing.QuarantineState();
  const clock = new schemas.VirtualClock();
  const isWritable = { now: true };
  const registry = new suspectRegistries.SuspectRegistry({
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
  registry.startLeading(1);
  const ends = ['p1', 'p2', 'p3'].map((processId) => ({ ...END, processId }));
  const runs = ends.map((end) => ({ kind: 'ended', digest: 'bad', end }) as const);
  registry.report({ hostId: 'host', runs });
  await clock.advance(5_000);
  const request = { hostId: 'host', digest: 'bad', processId: 'p4', mayShare: true };
  isWritable.now = false;
  await t.rejects(registry.permit(request), 'not permitted if it can’t be logged');
  isWritable.now = true;
  await clock.advance(10_000);
  t.same(await registry.permit(request), { kind: 'go' });
  t.equal(quarantine.list()[0]?.chances, 2);
});

function createLeaderRegistry(clock: schemas.VirtualClock, quarantine: routing.QuarantineState) {
  return new suspectRegistries.SuspectRegistry({
    clock,
    log: new schemas.SilentLog(),
    metrics: new telemetry.TextMetrics(),
    quarantine,
    propose: async (entry) => Promise.resolve(quarantine.apply(entry)),
  });
}

// Guards against a re-elected leader that refuses calls that were cleared while another host led.
void tap.default.test('a re-elected leader starts from the entries of the log', async (t) => {
  const clock = new schemas.VirtualClock();
  const quarantine = new routing.QuarantineState();
  const registry = createLeaderRegistry(clock, quarantine);
  registry.startLeading(1);
  registry.report({ hostId: 'host', runs: QUARANTINING_RUNS });
  await clock.advance(10);
  t.equal(quarantine.list().length, 1);
  quarantine.apply({ quarantine: { kind: 'cleared', digest: 'good' } });
  registry.startLeading(3);
  t.same(registry.findUpdates({ term: 1, revision: 0 }, 3)?.changes.suspects, []);
  t.same(quarantine.list(), [], 'and does not log it again');
});

// Guards against one more crash by a call that is repeated before its host has detected the crash of its first run.
void tap.default.test('a run without a permit is evidence like any other', async (t) => {
  const clock = new schemas.VirtualClock();
  const registry = createLeaderRegistry(clock, new routing.QuarantineState());
  const report = (digest: string, processId: string) =>
    registry.report({
      hostId: 'host',
      runs: [{ kind: 'ended', digest, end: { ...END, processId } }],
    });
  const getStanding = (digest: string) => {
    const { suspects } = registry.findUpdates({ term: -1, revision: 0 }, 1)!.changes;
    return routing.getStanding(suspects.find((facts) => facts.digest === digest)!);
  };
  registry.startLeading(1);
  report('early', 'p1');
  report('early', 'p2');
  t.equal(getStanding('early'), 'suspect', 'not while the leader may lack earlier runs');
  await clock.advance(3_000);
  report('bad', 'p3');
  report('good', 'p3');
  report('bad', 'p4');
  t.equal(getStanding('bad'), 'quarantined', 'no other suspect ran there');
  report('good', 'p4');
  t.equal(getStanding('good'), 'suspect', 'another one did');
  const request = { hostId: 'host', digest: 'good', processId: 'p8', mayShare: true };
  t.same(
    await registry.permitWithIsolation(request),
    { kind: 'go', isAlone: true },
    'and the permit states that no other suspect runs there',
  );
});

void tap.default.test(
  'a new leader gets the suspects of a host before its updates are applied',
  async (t) => {
    // A new leader lacks suspects that are not in the log. A host that applied its empty ledger at once would drop them,
    // and each would crash one more upstream.
    const { clock, leader, ledger, client } = createClient();
    const changes = { revision: 0, isWhole: true, suspects: [], cleared: [] };
    client.applyUpdates({ term: 1, changes });
    ledger.recordProcessEnd('bad', END, 0);
    client.applyUpdates({ term: 2, changes });
    t.equal(ledger.getStanding('bad'), 'suspect', 'its updates are not applied yet');
    await clock.advance(100);
    t.match(leader.shared, [{ digest: 'bad' }]);
    client.applyUpdates({ term: 2, changes: { ...changes, cleared: ['bad'] } });
    t.equal(ledger.getStanding('bad'), 'free', 'and then they are');
    client.stop();
  },
);

void tap.default.test(
  'a host that has just started applies the first updates of a leader',
  async (t) => {
    // The host becomes ready with that answer. Otherwise a call that arrives before the next answer is sent as if it
    // were not a suspect.
    const { client, ledger } = createClient();
    const suspects = [{ digest: 'bad', ends: [END], chances: 0 }];
    client.applyUpdates({
      term: 1,
      changes: { revision: 1, isWhole: true, suspects, cleared: [] },
    });
    t.equal(ledger.getStanding('bad'), 'suspect');
    client.stop();
    return Promise.resolve();
  },
);
