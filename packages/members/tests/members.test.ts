import * as members from '@bramleyridge/members';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const HEARTBEAT_MS = 1_000;

interface Host {
  readonly beat: schemas.Beat;
  readonly store: members.ConfigurationStore;
  readonly view: members.ZoneView;
  readonly server: members.SyncServer;
  readonly client: members.SyncClient;
}

/** Daemons of one zone and one leading voter elsewhere, on virtual time. */
class Zone {
  public readonly clock = new schemas.VirtualClock();
  public readonly hosts = new Map<string, Host>();
  public readonly status = new members.ZoneStatus(this.clock);
  public readonly down = new Set<string>();
  public exchanges = 0;
  private readonly seeds: members.PeerAddress[];

  public constructor(names: readonly string[]) {
    this.seeds = [...names.map((id) => this.createAddress(id, 'a')), this.createAddress('v1', 'z')];
    [...names].forEach((id) => this.start(id, 'a', 1));
    this.start('v1', 'z', 1);
    this.hosts.get('v1')!.store.markReady();
  }

  public start(daemonId: string, availabilityZone: string, incarnation: number): void {
    const beat: schemas.Beat = {
      ...this.createAddress(daemonId, availabilityZone),
      incarnation,
      callerPort: 1,
      isLeaving: false,
      revision: 0,
    };
    const store = new members.ConfigurationStore(this.clock);
    const self = () => ({ ...beat, revision: store.get().revision });
    const view = new members.ZoneView(self, this.clock, 3 * HEARTBEAT_MS);
    const isLeader = daemonId === 'v1';
    const server = new members.SyncServer({
      store,
      view,
      clock: this.clock,
      findLeader: () => 'v1',
      findZoneStatus: () => (isLeader ? this.status : undefined),
      getEntries: () => (isLeader ? this.status.getEntries() : view.entries),
      isLeased: () => isLeader,
    });
    const client = new members.SyncClient({
      self,
      isVoter: isLeader,
      isLeader: () => isLeader,
      seeds: this.seeds,
      store,
      view,
      clock: this.clock,
      log: new schemas.SilentLog(),
      heartbeatMs: HEARTBEAT_MS,
      deadlineMs: 500,
      sync: (peer, req, deadlineMs) => this.exchange(daemonId, peer.daemonId, req, deadlineMs),
    });
    this.down.delete(daemonId);
    this.hosts.set(daemonId, { beat, store, view, server, client });
    if (!isLeader) {
      void client.run();
    }
  }

  public stop(daemonId: string): void {
    this.hosts.get(daemonId)!.client.stop();
    this.down.add(daemonId);
  }

  /** Puts a step in force at the voter. */
  public confirm(): number {
    const { store } = this.hosts.get('v1')!;
    const from = store.get().revision;
    store.recordLeaderConfirmation(0);
    store.offerDeltas([{ from, to: from + 1, changes: [], claimSeats: [], claimFounders: [] }]);
    return from + 1;
  }

  public list(): Host[] {
    return [...this.hosts]
      .filter(([id]) => id !== 'v1' && !this.down.has(id))
      .map(([, host]) => host);
  }

  private async exchange(
    from: string,
    to: string,
    req: schemas.SyncReq,
    deadlineMs: number,
  ): Promise<schemas.SyncRes> {
    this.exchanges += 1;
    await this.clock.sleep(1);
    if (this.down.has(to) || this.down.has(from)) {
      await this.clock.sleep(deadlineMs);
      throw new Error('deadline');
    }
    if (to === 'v1') {
      this.hosts.get('v1')!.store.recordLeaderConfirmation(0);
    }
    return structuredClone(await this.hosts.get(to)!.server.handle(structuredClone(req)));
  }

  private createAddress(daemonId: string, availabilityZone: string): members.PeerAddress {
    return { daemonId, availabilityZone, host: 'h', peerPort: 1, voter: daemonId === 'v1' };
  }
}

const NAMES = Array.from({ length: 8 }, (_, i) => `d${i + 1}`);

void tap.default.test(
  'a zone settles on one relay and one list, and hears of changes at once',
  async (t) => {
    const zone = new Zone(NAMES);
    await zone.clock.advance(10_000);
    const relays = zone.list().filter((host) => host.view.isRelay());
    t.equal(relays.length, 1, 'one relay');
    const stamps = new Set(zone.list().map((host) => host.view.getDirectory().stamp));
    t.equal(stamps.size, 1, 'one list');
    t.equal(zone.list()[0]!.view.getDirectory().members.length, NAMES.length);
    const owners = new Set(zone.list().map((host) => host.view.findOwner('m')?.daemonId));
    t.equal(owners.size, 1, 'one owner of a pool');
    const revision = zone.confirm();
    await zone.clock.advance(50);
    t.ok(
      zone.list().every((host) => host.store.get().revision === revision),
      'a step is everywhere 50 ms later',
    );
  },
);

void tap.default.test('heartbeats of a quiet zone are one a second and daemon', async (t) => {
  const zone = new Zone(NAMES);
  await zone.clock.advance(20_000);
  zone.exchanges = 0;
  await zone.clock.advance(20_000);
  const perDaemon = zone.exchanges / NAMES.length / 20;
  t.ok(perDaemon <= 1.1, `${perDaemon.toFixed(2)} a second`);
});

void tap.default.test('the relay dies: another takes over, nobody else is dropped', async (t) => {
  const zone = new Zone(NAMES);
  await zone.clock.advance(10_000);
  const relay = zone.list().find((host) => host.view.isRelay())!.beat.daemonId;
  zone.stop(relay);
  await zone.clock.advance(15_000);
  const relays = zone.list().filter((host) => host.view.isRelay());
  t.equal(relays.length, 1);
  const live = relays[0]!.view.getDirectory().members.filter((item) => item.state === 'live');
  t.equal(live.length, NAMES.length - 1);
  const revision = zone.confirm();
  await zone.clock.advance(2_000);
  t.ok(zone.list().every((host) => host.store.get().revision === revision));
});

void tap.default.test('a late heartbeat of a former incarnation changes nothing', async (t) => {
  const clock = new schemas.VirtualClock();
  const table = new members.MemberTable(clock, 3_000);
  const { beat } = new Zone(['d1']).hosts.get('d1')!;
  table.receive({ ...beat, incarnation: 2 });
  table.receive({ ...beat, incarnation: 1, isLeaving: true });
  t.match(table.list(), [{ incarnation: 2, state: 'live' }]);
  await clock.advance(3_500);
  t.match(table.list(), [{ state: 'suspect' }]);
  table.receive({ ...beat, incarnation: 2, isLeaving: true });
  table.receive({ ...beat, incarnation: 2 });
  t.match(table.list(), [{ state: 'leaving' }], 'a late beat does not call a leaving daemon back');
});

void tap.default.test('a revision never falls, whoever offers what', async (t) => {
  // A peer that was cut off offers what was in force before; a step with a gap is offered.
  const store = new members.ConfigurationStore(new schemas.VirtualClock());
  const step = (from: number, to: number): schemas.Delta => ({
    from,
    to,
    changes: [],
    claimSeats: [],
    claimFounders: [],
  });
  store.offerDeltas([step(0, 1), step(1, 2), step(2, 3)]);
  t.equal(store.get().revision, 3);
  t.notOk(store.offer({ ...store.get(), revision: 2 }), 'an older whole');
  t.ok(store.offerDeltas([step(0, 1), step(1, 2)]), 'older steps are passed over');
  t.notOk(store.offerDeltas([step(5, 6)]), 'a gap is refused');
  t.equal(store.get().revision, 3);
});

void tap.default.test('a restarted daemon without a disk asks before it is ready', async (t) => {
  // It comes back while the voters are out of reach: it takes its zone's highest, not an empty one.
  const zone = new Zone(NAMES);
  await zone.clock.advance(5_000);
  const revision = zone.confirm();
  await zone.clock.advance(2_000);
  zone.down.add('v1');
  zone.stop('d3');
  await zone.clock.advance(2_000);
  zone.start('d3', 'a', 2);
  const restarted = zone.hosts.get('d3')!;
  t.notOk(restarted.store.isReady());
  await zone.clock.advance(15_000);
  t.ok(restarted.store.isReady());
  t.equal(restarted.store.get().revision, revision);
});

void tap.default.test('a daemon that nobody answers does not serve', async (t) => {
  // It knows nothing of what is in force; serving would mean guessing which team may be where.
  const zone = new Zone(NAMES);
  await zone.clock.advance(5_000);
  zone.confirm();
  [...NAMES, 'v1'].forEach((id) => zone.down.add(id));
  zone.stop('d3');
  zone.start('d3', 'a', 2);
  await zone.clock.advance(20_000);
  t.notOk(zone.hosts.get('d3')!.store.isReady());
  zone.down.delete('v1');
  await zone.clock.advance(5_000);
  t.ok(zone.hosts.get('d3')!.store.isReady(), 'a voter’s word is enough');
});

void tap.default.test(
  'a daemon that has just started knows no upstreams until its relay tells',
  async (t) => {
    // Callers were refused as not run: a restarted daemon said that it was ready when it had the configuration, while its
    // zone's relay stopped in that moment and the list of upstreams came from the next one only.
    const zone = new Zone(NAMES);
    await zone.clock.advance(10_000);
    const relay = zone.list().find((host) => host.view.isRelay())!;
    relay.view.setUpstreams([]);
    t.ok(relay.view.hasUpstreamList(), 'the relay has read the list');
    const beat = relay.view.listHeartbeats()[0]!;
    const view = new members.ZoneView(
      () => ({ ...beat, daemonId: 'new' }),
      zone.clock,
      HEARTBEAT_MS,
    );
    t.notOk(view.hasUpstreamList(), 'nothing was told yet');
    view.setRelay(true);
    t.notOk(view.hasUpstreamList(), 'nor read, where it must be the relay itself');
    view.setRelay(false);
    view.receiveDirectory(relay.view.getDirectory());
    t.ok(view.hasUpstreamList(), 'the relay has told');
    view.setRelay(true);
    t.ok(view.hasUpstreamList(), 'and what it told is known when it takes over');
  },
);

void tap.default.test(
  'a relay that has not read the list itself makes nobody else ready',
  async (t) => {
    // Every daemon of a zone refused all calls as not run for 0.4 s and said that it was ready: they had just started, and
    // took the empty directory of a relay that had not read the platform's list yet for the zone's upstreams.
    const zone = new Zone(NAMES);
    await zone.clock.advance(10_000);
    const relay = zone.list().find((host) => host.view.isRelay())!;
    const member = zone.list().find((host) => !host.view.isRelay())!;
    t.notOk(relay.view.hasUpstreamList(), 'the relay has read nothing');
    t.ok(member.view.getDirectory().members.length > 1, 'its directory has come');
    t.notOk(member.view.hasUpstreamList(), 'which says nothing of upstreams');
    member.view.setRelay(true);
    t.notOk(member.view.hasUpstreamList(), 'also when the other takes over as the relay');
    member.view.setRelay(false);
    relay.view.setUpstreams([]);
    await zone.clock.advance(2_000);
    t.ok(member.view.hasUpstreamList(), 'until the relay has read the list');
  },
);
