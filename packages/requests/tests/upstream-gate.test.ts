import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const UPSTREAM: requests.GatedUpstream = { upstreamId: 'u1', processId: 'u1@7' };

function createFixture(hosts = 1) {
  const clock = new schemas.VirtualClock();
  const service = new requests.RateGrantService();
  const state = { hasGrantor: true, reports: [] as requests.RateLimitFacts[] };
  const lines: object[] = [];
  const add = (fields: object) => lines.push(fields);
  const gate = new requests.UpstreamGate({
    grantor: {
      requestGrant: async (limit) => {
        await clock.sleep(2);
        if (!state.hasGrantor) {
          return undefined;
        }
        service.merge(limit, clock.now());
        return service.grant(limit.processId, clock.now());
      },
      reportLimit: (limit) => {
        state.reports.push(limit);
      },
    },
    share: new requests.LeaderlessRateShare('h1', () => hosts),
    clock,
    log: { debug: add, info: add, warn: add, error: add },
    random: () => 0.5,
    count: () => {},
  });
  const name = (value: string | undefined) =>
    gate.recordAnswer(UPSTREAM, {
      ...requests.EMPTY_NOTICE,
      limit: requests.parseNamedLimit(value),
    });
  /** Requests a permit; undefined if the send is withheld. */
  const admit = async () => {
    const permit = gate.admit(UPSTREAM).catch(() => undefined);
    await clock.advance(5);
    return permit;
  };
  return { admit, clock, gate, lines, name, state };
}

function isWithheld(act: () => void): boolean {
  try {
    act();
    return false;
  } catch (err) {
    return err instanceof requests.UpstreamError && err.kind === 'withheld';
  }
}

void tap.default.test('a limited upstream gets as many calls as are granted', async (t) => {
  const { admit, clock, gate, name } = createFixture();
  t.ok(await admit(), 'no limit');
  name('2');
  t.notOk(await admit(), 'a bucket starts empty');
  t.notOk(gate.isOpen(UPSTREAM), 'and the upstream is passed over');
  const { retryAfterS } = gate.describeWait([UPSTREAM]);
  t.ok(retryAfterS > 0.6 && retryAfterS < 0.9, `${retryAfterS} s: the wait for room, and spread`);
  await clock.advance(600);
  t.ok(gate.isOpen(UPSTREAM));
  t.ok(await admit());
  t.notOk(await admit());
  name(undefined);
  t.ok(gate.isOpen(UPSTREAM), 'an answer without a limit ends it');
  t.ok(await admit());
});

// Guards against a call that was admitted before an answer named a limit and is sent after it.
void tap.default.test('a permit holds for one send, at once, at its process', async (t) => {
  const { admit, clock, gate, name } = createFixture();
  const early = (await admit())!;
  const late = (await admit())!;
  const used = (await admit())!;
  gate.use(used, UPSTREAM);
  t.ok(
    isWithheld(() => gate.use(used, UPSTREAM)),
    'once',
  );
  const other = { upstreamId: 'u1', processId: 'u1@8' };
  t.ok(
    isWithheld(() => gate.use(early, other)),
    'not at a later process',
  );
  name('2');
  t.ok(
    isWithheld(() => gate.use(late, UPSTREAM)),
    'not after a limit was named',
  );
  t.notOk(await admit());
  await clock.advance(600);
  const stale = (await admit())!;
  await clock.advance(300);
  t.ok(
    isWithheld(() => gate.use(stale, UPSTREAM)),
    'not later',
  );
});

// Guards against a limit that ends with its process but binds the next one under the same name.
void tap.default.test('a limit ends with its process', async (t) => {
  const { admit, gate, name } = createFixture();
  name('1');
  t.notOk(await admit());
  t.ok(gate.isOpen({ upstreamId: 'u1', processId: 'u1@8' }));
});

// Guards against hosts that send nothing, or the whole limit each, while nobody grants.
void tap.default.test('without a grantor hosts share a part of the limit', async (t) => {
  const { admit, clock, name, state } = createFixture(2);
  name('4');
  state.hasGrantor = false;
  let sent = 0;
  for (let i = 0; i < 200; i += 1) {
    sent += (await admit()) === undefined ? 0 : 1;
    await clock.advance(95);
  }
  t.ok(sent > 15 && sent < 45, `${sent} of 80 in 20 s, by one of two hosts`);
});

// Guards against one bad header that ends a limit, begins one, or floods the log of other hosts.
void tap.default.test('unreadable limits change nothing', async (t) => {
  const { gate, lines, name, state } = createFixture();
  ['-1', 'many', '1e9', ''].forEach(name);
  t.equal(gate.countLimits(), 0);
  name('3');
  name('x');
  t.equal(gate.countLimits(), 1);
  t.equal(state.reports.length, 1, 'only a change is reported');
  t.equal(lines.filter((line) => 'text' in line).length, 5, 'each is logged');
});

void tap.default.test('a run that can be resumed waits for room', async (t) => {
  const { admit, clock, gate, name } = createFixture();
  name('2');
  const { signal } = new AbortController();
  const waiting = gate.admitResume(UPSTREAM, { arrivedAt: 0, patienceMs: 1_500, signal });
  await clock.advance(1_000);
  t.ok(await waiting);
  await admit();
  const refused = gate
    .admitResume(UPSTREAM, { arrivedAt: 0, patienceMs: 20, signal })
    .catch((err: Error) => err);
  await clock.advance(30);
  t.ok((await refused) instanceof Error, 'not beyond its patience');
});

function createRest(restMs: number): requests.UpstreamNotice {
  return { ...requests.EMPTY_NOTICE, rest: { kind: 'named', restMs } };
}

// Guards against sends to an upstream that has turned a call away and asked for rest, also by calls picked before.
void tap.default.test('a resting upstream gets no calls until the latest end', async (t) => {
  const { admit, clock, gate, lines } = createFixture();
  const early = (await admit())!;
  gate.recordAnswer(UPSTREAM, createRest(3_000));
  t.ok(isWithheld(() => gate.use(early, UPSTREAM)));
  t.notOk(await admit());
  gate.recordAnswer(UPSTREAM, createRest(1_000));
  gate.recordAnswer(UPSTREAM, requests.EMPTY_NOTICE);
  const { reason, retryAfterS } = gate.describeWait([UPSTREAM]);
  t.equal(reason, 'rest');
  t.ok(retryAfterS >= 2.9 && retryAfterS <= 4, `${retryAfterS} s`);
  await clock.advance(2_900);
  t.notOk(await admit(), 'neither a shorter one nor a success ends it');
  await clock.advance(100);
  t.ok(await admit());
  t.equal(gate.countRests(), 0);
  t.equal(lines.length, 2, 'a line as it begins and as it ends');
});

// Guards against a rest that bars an upstream for good.
void tap.default.test('a rest of a year ends in minutes', async (t) => {
  const { admit, clock, gate } = createFixture();
  gate.recordAnswer(UPSTREAM, createRest(31_536_000_000));
  t.notOk(await admit());
  await clock.advance(300_000);
  t.ok(await admit());
});

// Guards against new calls to an upstream that leaves, and against a lost run whose only copy is there.
void tap.default.test('a leaving upstream gets no new calls but takes earlier runs', async (t) => {
  const { admit, clock, gate } = createFixture();
  const early = (await admit())!;
  const { signal } = new AbortController();
  const resume = (arrivedAt: number) =>
    gate.admitResume(UPSTREAM, { arrivedAt, patienceMs: 100, signal });
  const statedAt = clock.now();
  gate.recordAnswer(UPSTREAM, { ...requests.EMPTY_NOTICE, isLeaving: true });
  t.ok(
    isWithheld(() => gate.use(early, UPSTREAM)),
    'picked before',
  );
  t.notOk(await admit());
  t.notOk(gate.isOpen(UPSTREAM));
  gate.recordAnswer(UPSTREAM, requests.EMPTY_NOTICE);
  t.notOk(await admit(), 'for good');
  gate.use(await resume(statedAt - 1), UPSTREAM);
  await t.rejects(resume(statedAt + 1), 'not for a call that arrived later');
  t.ok(gate.isOpen({ upstreamId: 'u1', processId: 'u1@8' }), 'its next process is another');
});

// Guards against frequent probes that end a limit which the upstream names to calls only.
void tap.default.test('a probe begins a limit but does not end one', async (t) => {
  const { gate, name } = createFixture();
  gate.recordProbe(UPSTREAM, requests.EMPTY_NOTICE);
  t.equal(gate.countLimits(), 0);
  gate.recordProbe(UPSTREAM, {
    ...requests.EMPTY_NOTICE,
    limit: { kind: 'named', callsPerS: 2 },
  });
  t.equal(gate.countLimits(), 1);
  gate.recordProbe(UPSTREAM, requests.EMPTY_NOTICE);
  t.equal(gate.countLimits(), 1);
  name(undefined);
  t.equal(gate.countLimits(), 0, 'an answer to a call ends it');
});

// Guards against new calls to an upstream of which only another host has heard that it leaves.
void tap.default.test('what an upstream stated to another host binds here too', async (t) => {
  const { admit, gate } = createFixture();
  const early = await admit();
  gate.mergeLeaving([UPSTREAM]);
  t.ok(
    isWithheld(() => gate.use(early!, UPSTREAM)),
    'also with an earlier permit',
  );
  t.notOk(await admit());
  t.ok(gate.isOpen({ ...UPSTREAM, processId: 'u1@8' }), 'but not another process of the same id');
});

// Guards against an upstream that gets no calls for good because an earlier process under its id has left.
void tap.default.test(
  'an unlisted upstream is another process when it is listed again',
  async (t) => {
    const { gate } = createFixture();
    const unnamed = { upstreamId: 'u2', processId: 'u2' };
    gate.mergeLeaving([UPSTREAM, unnamed]);
    gate.forgetUnlisted(() => true);
    t.notOk(gate.isOpen(unnamed), 'not while it is listed');
    gate.forgetUnlisted(() => false);
    t.ok(gate.isOpen(unnamed));
    t.notOk(gate.isOpen(UPSTREAM), 'a process with an id of its own stays left');
    t.equal(gate.countLeaving(), 1);
  },
);
