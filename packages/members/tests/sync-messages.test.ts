import * as members from '@bramleyridge/members';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const HEARTBEAT_MS = 1_000;

const beat: schemas.Heartbeat = {
  daemonId: 'a-1',
  incarnation: 1,
  availabilityZone: 'a',
  host: '10.1.1.1',
  peerPort: 7_001,
  callerPort: 7_002,
  isLeaving: false,
  revision: 0,
};
const member = { ...beat, state: 'live' };
const upstream = {
  upstreamId: 'engine-1',
  kind: 'engine',
  availabilityZone: 'a',
  url: 'http://10.1.1.1:8000',
  state: 'live',
  checksFencing: false,
};
const team = {
  kind: 'team',
  name: 'sales',
  tokenSha256: ['0'.repeat(64)],
  availabilityZones: ['a'],
};

function createConfiguration(revision: number, teams: readonly unknown[]): object {
  const declaration = { teams, intents: [], services: [] };
  return { revision, declaration, claimSeats: [], claimFounders: [], narrowedAt: {} };
}

function createReq(change: object = {}): object {
  return {
    from: 'a-1',
    incarnation: 1,
    availabilityZone: 'a',
    beats: [beat],
    isWhole: true,
    dropped: [],
    revision: 0,
    directoryStamp: '',
    entriesStamp: '',
    waitMs: 500,
    ...change,
  };
}

function createRes(change: object = {}): object {
  return { revision: 0, ageMs: 0, needsBeats: false, needsConfiguration: false, ...change };
}

/** A host whose peers answer with what `answer` returns. */
function createClient(answer: () => unknown) {
  const clock = new schemas.VirtualClock();
  const store = new members.ConfigurationStore(clock);
  const self = () => ({ ...beat, daemonId: 'a-2' });
  const view = new members.ZoneView(self, clock, 3 * HEARTBEAT_MS);
  const lines: object[] = [];
  const seed = { ...beat, daemonId: 'v-1', availabilityZone: 'z', voter: true };
  let exchanges = 0;
  const client = new members.SyncClient({
    self,
    isVoter: false,
    isLeader: () => false,
    seeds: [seed],
    store,
    view,
    clock,
    log: Object.assign(new schemas.SilentLog(), { warn: (line: object) => lines.push(line) }),
    heartbeatMs: HEARTBEAT_MS,
    deadlineMs: 500,
    sync: async () => {
      exchanges += 1;
      return Promise.resolve(answer());
    },
  });
  return { client, clock, lines, store, view, count: () => exchanges };
}

// Guards against one unreadable report of a daemon that cuts a whole zone off from the leader.
void tap.default.test('unreadable reports of a heartbeat are left out', async (t) => {
  const bad = [
    { ...beat, daemonId: 'a-3', incarnation: '7' },
    { ...beat, daemonId: 'a-4', peerPort: 99_999 },
    { daemonId: 'a-5' },
    null,
    10n,
  ];
  const read = schemas.syncReq.parse(createReq({ beats: [...bad, beat] }));
  t.same(read.beats, [beat]);
  t.equal(read.unreadable?.unreadable, bad.length);
  t.notOk(read.unreadable?.lacksPart);
});

// Guards against a daemon that repeats its heartbeat without pause because its own report is never recorded.
void tap.default.test('a heartbeat without the readable report of its sender is refused', (t) => {
  const beats = [{ ...beat, incarnation: '7' }];
  t.notOk(schemas.syncReq.safeParse(createReq({ beats })).success);
  t.ok(schemas.syncReq.safeParse(createReq({ beats: [] })).success, 'unchanged, so not sent');
  t.end();
});

// Guards against a frame that is half read.
void tap.default.test('a heartbeat that does not fit its schema is refused', (t) => {
  const changes = [
    { beats: {} },
    { revision: 'x' },
    { waitMs: null },
    { from: 7 },
    { dropped: [1] },
  ];
  changes.forEach((change) => {
    t.notOk(schemas.syncReq.safeParse(createReq(change)).success, JSON.stringify(change));
  });
  t.end();
});

// Guards against an answer that is held back for longer than a timer can wait: its loop would not pause at all.
void tap.default.test('the wait of a heartbeat is limited', (t) => {
  t.equal(schemas.syncReq.parse(createReq({ waitMs: Number.MAX_SAFE_INTEGER })).waitMs, 60_000);
  t.end();
});

// Guards against one unreadable daemon or upstream of the directory that fails each use of the directory.
void tap.default.test('unreadable entries of a directory are left out', async (t) => {
  const directory = {
    stamp: 's1',
    availabilityZone: 'a',
    members: [{ ...member, state: 'asleep' }, member, 7],
    upstreams: [{ ...upstream, url: 'mailto:a' }, upstream, { ...upstream, url: 'http://%' }, null],
    hasList: true,
  };
  const { client, clock, lines, view } = createClient(() => createRes({ directory }));
  // Another daemon of the zone is its relay.
  view.receiveDirectory({ ...directory, stamp: 's0', members: [member], upstreams: [] } as never);
  const sent = client.sendHeartbeat();
  await clock.advance(HEARTBEAT_MS);
  await sent;
  const received = view.getDirectory();
  t.same(
    received.members.map(({ daemonId }) => daemonId),
    ['a-1'],
  );
  t.same(received.upstreams, [upstream]);
  t.match(lines, [{ event: 'heartbeat-answer-unreadable', count: 5, peer: 'a-1' }]);
});

// Guards against a broken configuration that comes into force, and against the loss of the rest of the answer with it.
void tap.default.test('an unreadable configuration is not put in force', async (t) => {
  const configurations = [
    createConfiguration(5, [team, { ...team, name: 'A Team' }]),
    { revision: 5 },
    { ...createConfiguration(5, []), declaration: null },
    'configuration',
  ];
  for (const configuration of configurations) {
    const entries = { stamp: 'e1', urls: { a: ['http://10.1.1.1:7002'] } };
    const { client, clock, count, store, view } = createClient(() =>
      createRes({ revision: 5, configuration, entries }),
    );
    void client.run();
    await clock.advance(10 * HEARTBEAT_MS);
    t.equal(store.get().revision, 0, 'the former configuration stays');
    t.equal(view.entries.stamp, 'e1', 'the rest of the answer is used');
    t.ok(count() <= 20, `${count()} heartbeats in 10 intervals`);
    client.stop();
  }
});

// Guards against an answer that ends the task: the daemon would keep an outdated configuration for good.
void tap.default.test('an answer that does not fit its schema is a failed heartbeat', async (t) => {
  const answers: unknown[] = [
    null,
    7,
    [],
    {},
    createRes({ revision: 'x' }),
    createRes({ leader: 7 }),
  ];
  const configuration = createConfiguration(5, [team]);
  const { client, clock, store } = createClient(
    () => answers.shift() ?? createRes({ revision: 5, configuration }),
  );
  void client.run();
  await clock.advance(30 * HEARTBEAT_MS);
  t.equal(store.get().revision, 5);
  client.stop();
});

// Guards against daemons that refuse a configuration of the next version while daemons are updated one by one.
void tap.default.test('fields of a newer version in a configuration are kept', (t) => {
  const newer = { ...team, weight: 1, maxConcurrent: 1, maxQueued: 1, region: 'north' };
  const configuration = createConfiguration(5, [newer]);
  const read = schemas.syncReq.parse(createReq({ configuration }));
  t.same(read.configuration?.declaration.teams, [newer]);
  const deltas = [
    {
      from: 0,
      to: 5,
      changes: [{ kind: 'team', name: 'sales', after: newer }],
      claimSeats: [],
      claimFounders: [],
    },
  ];
  t.same(schemas.syncRes.parse(createRes({ deltas })).deltas, deltas);
  t.end();
});
