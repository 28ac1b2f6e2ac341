import * as members from '@bramleyridge/members';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const HEARTBEAT_MS = 1_000;

interface Host {
  readonly beat: schemas.Heartbeat;
  readonly store: members.ConfigurationStore;
  readonly view: members.ZoneView;
  readonly server: members.SyncServer;
  readonly client: members.SyncClient;
}

/** The hosts of one zone and a leader in another zone, on virtual time. */
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
    const beat: schemas.Heartbeat = {
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
      log: new schemas.SilentLog(),
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

  /** Applies a delta at the leader. */
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
  'a zone agrees on one relay and one directory, and receives changes at once',
  async (t) => {
    const zone = new Zone(NAMES);
    await zone.clock.advance(10_000);
    const relays = zone.list().filter((host) => host.view.isRelay());
    t.equal(relays.length, 1, 'one relay');
    const stamps = new Set(zone.list().map((host) => host.view.getDirectory().stamp));
    t.equal(stamps.size, 1, 'one directory');
    t.equal(zone.list()[0]!.view.getDirectory().members.length, NAMES.length);
    const owners = new Set(zone.list().map((host) => host.view.findOwner('m')?.daemonId));
    t.equal(owners.size, 1, 'one owner of a pool');
    const revision = zone.confirm();
    await zone.clock.advance(50);
    t.ok(
      zone.list().every((host) => host.store.get().revision === revision),
      'all hosts have a delta 50 ms later',
    );
  },
);

void tap.default.test('an idle zone sends one heartbeat per second and host', async (t) => {
  const zone = new Zone(NAMES);
  await zone.clock.advance(20_000);
  zone.exchanges = 0;
  await zone.clock.advance(20_000);
  const perDaemon = zone.exchanges / NAMES.length / 20;
  t.ok(perDaemon <= 1.1, `${perDaemon.toFixed(2)} per second`);
});

void tap.default.test(
  'another relay takes over from a dead one, and no other host is dropped',
  async (t) => {
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
  },
);

void tap.default.test('a delayed heartbeat of a former incarnation is ignored', async (t) => {
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
  t.match(
    table.list(),
    [{ state: 'leaving' }],
    'a delayed heartbeat does not revert the leaving state',
  );
});

void tap.default.test('the revision never decreases', async (t) => {
  // A peer that was partitioned offers an earlier configuration; another offers a delta that leaves a gap.
  const store = new members.ConfigurationStore(new schemas.VirtualClock());
  const createDelta = (from: number, to: number): schemas.Delta => ({
    from,
    to,
    changes: [],
    claimSeats: [],
    claimFounders: [],
  });
  store.offerDeltas([createDelta(0, 1), createDelta(1, 2), createDelta(2, 3)]);
  t.equal(store.get().revision, 3);
  t.notOk(store.offer({ ...store.get(), revision: 2 }), 'an older full configuration');
  t.ok(store.offerDeltas([createDelta(0, 1), createDelta(1, 2)]), 'older deltas are skipped');
  t.notOk(store.offerDeltas([createDelta(5, 6)]), 'a gap is rejected');
  t.equal(store.get().revision, 3);
});

void tap.default.test(
  'a restarted host without a disk loads the configuration before it is ready',
  async (t) => {
    // It restarts while the voters are unreachable, and must use the highest revision of its zone, not an empty one.
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
  },
);

void tap.default.test('a host that gets no response does not serve', async (t) => {
  // Without a configuration it can't tell which team is permitted in which zone.
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
  t.ok(zone.hosts.get('d3')!.store.isReady(), 'one response of a voter is sufficient');
});

void tap.default.test(
  'a host that has just started has no upstreams until its relay sends them',
  async (t) => {
    // Guards against refused calls: a restarted host reported ready once it had the configuration, but its zone's relay
    // stopped at the same time, and the list of upstreams came only from the next relay.
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
    t.notOk(view.hasUpstreamList(), 'no directory yet');
    view.setRelay(true);
    t.notOk(view.hasUpstreamList(), 'no list yet as the relay itself');
    view.setRelay(false);
    view.receiveDirectory(relay.view.getDirectory());
    t.ok(view.hasUpstreamList(), 'the relay has sent its directory');
    view.setRelay(true);
    t.ok(
      view.hasUpstreamList(),
      'and the upstreams are kept when the host takes over as the relay',
    );
  },
);

void tap.default.test(
  'a relay without the list of upstreams makes no other host ready',
  async (t) => {
    // Guards against hosts that report ready but refuse all calls: for 0.4 s all hosts of a zone that had just started
    // took the directory of a relay that had not read the platform's list yet for a list without upstreams.
    const zone = new Zone(NAMES);
    await zone.clock.advance(10_000);
    const relay = zone.list().find((host) => host.view.isRelay())!;
    const member = zone.list().find((host) => !host.view.isRelay())!;
    t.notOk(relay.view.hasUpstreamList(), 'the relay has not read the list');
    t.ok(member.view.getDirectory().members.length > 1, 'its directory has been received');
    t.notOk(member.view.hasUpstreamList(), 'but has no list of upstreams');
    member.view.setRelay(true);
    t.notOk(member.view.hasUpstreamList(), 'not either when the host takes over as the relay');
    member.view.setRelay(false);
    relay.view.setUpstreams([]);
    await zone.clock.advance(2_000);
    t.ok(member.view.hasUpstreamList(), 'ready once the relay has read the list');
  },
);
