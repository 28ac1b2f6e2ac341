import * as tap from 'tap';

import * as clusters from './support/cluster.js';

const THREE = ['v1', 'v2', 'v3'];

async function propose(cluster: clusters.Cluster, id: string): Promise<void> {
  const done = cluster.findLeader()?.leadership?.propose(id);
  await cluster.clock.advance(500);
  await done;
}

void tap.default.test('a host that lost its disk does not vote', async (t) => {
  // Guards against the loss of an accepted command. The leader and the second voter have it, the third voter does not.
  // The second loses its disk and restarts empty; the leader is partitioned. If the empty second voter voted, the third
  // would be elected without the command.
  const cluster = new clusters.Cluster(THREE, 7);
  await cluster.startAll();
  const leader = cluster.findLeader()!.daemonId;
  const [second, third] = THREE.filter((id) => id !== leader) as [string, string];
  cluster.isolate(third);
  await propose(cluster, 'accepted');
  cluster.loseDisk(second);
  cluster.start(second);
  cluster.heal();
  cluster.isolate(leader);
  await cluster.clock.advance(10_000);
  const others = cluster.listLeaders().filter((voter) => voter.daemonId !== leader);
  t.equal(others.length, 0, 'no leader is elected without the command');
  cluster.heal();
  await cluster.clock.advance(5_000);
  await propose(cluster, 'later');
  t.same(cluster.getApplied(third), ['accepted', 'later']);
});

void tap.default.test(
  'a host that lost its disk is added again, then a second host is lost',
  async (t) => {
    // The repaired host is added as a voter, and another voter is lost right after. No accepted command may be lost.
    const cluster = new clusters.Cluster(THREE, 11);
    await cluster.startAll();
    const leader = cluster.findLeader()!;
    const [second, third] = THREE.filter((id) => id !== leader.daemonId) as [string, string];
    await propose(cluster, 'one');
    cluster.loseDisk(second);
    cluster.start(second);
    await cluster.clock.advance(2_000);
    const { voterId } = cluster.nodes.get(second)!.voter!;
    t.notOk(
      cluster.nodes.get(second)!.voter!.hasSlot(),
      'the new data directory holds no voter slot yet',
    );
    const added = leader.leadership!.addVoter({ daemonId: second, voterId });
    await cluster.clock.advance(3_000);
    await added;
    t.ok(cluster.nodes.get(second)!.voter!.hasSlot(), 'the new data directory holds a voter slot');
    cluster.kill(third);
    await cluster.clock.advance(3_000);
    await propose(cluster, 'two');
    t.same(cluster.getApplied(second), ['one', 'two']);
  },
);

void tap.default.test(
  'a partitioned leader steps down, and its lease ends before another begins',
  async (t) => {
    // The partitioned leader remains leader for a while; a new one may be elected only after its lease has ended.
    const cluster = new clusters.Cluster(THREE, 3);
    await cluster.startAll();
    const old = cluster.findLeader()!;
    cluster.isolate(old.daemonId);
    let maxLeases = 0;
    for (let i = 0; i < 300; i += 1) {
      await cluster.clock.advance(10);
      const leased = cluster.listLeaders().filter((voter) => voter.leadership?.isLeaseHeld());
      maxLeases = Math.max(maxLeases, leased.length);
    }
    t.equal(maxLeases, 1, 'never two leases at once');
    t.notOk(old.isLeader(), 'the old leader stepped down');
    t.equal(cluster.listLeaders().length, 1, 'a new leader is elected');
  },
);

void tap.default.test('a one-way partition does not depose a leader', async (t) => {
  // A voter that can send but not receive would raise the term forever without pre-votes.
  const cluster = new clusters.Cluster(THREE, 5);
  await cluster.startAll();
  const leader = cluster.findLeader()!;
  const receiver = THREE.find((id) => id !== leader.daemonId)!;
  THREE.forEach((id) => cluster.block(id, receiver));
  const before = leader.term;
  await cluster.clock.advance(20_000);
  t.equal(cluster.findLeader()?.daemonId, leader.daemonId);
  t.equal(leader.term, before);
});

void tap.default.test('a follower behind the truncated log catches up by a snapshot', async (t) => {
  const cluster = new clusters.Cluster(THREE, 13);
  cluster.snapshotEvery = 20;
  await cluster.startAll();
  const leader = cluster.findLeader()!;
  const behind = THREE.find((id) => id !== leader.daemonId)!;
  cluster.kill(behind);
  for (let i = 0; i < 400; i += 1) {
    void leader.leadership!.propose(`c${i}`);
    await cluster.clock.advance(20);
  }
  t.ok(leader.entries.baseIndex > 0, 'the log was truncated');
  cluster.start(behind);
  await cluster.clock.advance(5_000);
  t.same(cluster.getApplied(behind), cluster.getApplied(leader.daemonId));
  cluster.kill(behind);
  cluster.start(behind);
  await cluster.clock.advance(2_000);
  t.same(cluster.getApplied(behind), cluster.getApplied(leader.daemonId), 'also after a restart');
});

void tap.default.test('accepted commands survive a restart of all voters', async (t) => {
  const cluster = new clusters.Cluster(THREE, 17);
  await cluster.startAll();
  await propose(cluster, 'one');
  THREE.forEach((id) => cluster.kill(id));
  THREE.forEach((id) => cluster.start(id));
  await cluster.clock.advance(5_000);
  await propose(cluster, 'two');
  THREE.forEach((id) => t.same(cluster.getApplied(id), ['one', 'two']));
});

/** Whether a voter grants its vote to a candidate of the next term with the same log. */
async function requestVote(cluster: clusters.Cluster, at: string, pre: boolean): Promise<boolean> {
  const voter = cluster.nodes.get(at)!.voter!;
  const res = await voter.handleVote({
    pre,
    term: voter.term + 1,
    candidate: { daemonId: 'x', voterId: 'x' },
    lastIndex: voter.entries.lastIndex,
    lastTerm: voter.entries.lastTerm,
  });
  return res.granted;
}

void tap.default.test('a voter grants no vote while a leader may hold its lease', async (t) => {
  // If a voter that is in contact with the leader, or has just restarted, granted its vote, a second leader could be
  // elected while the first still holds its lease.
  const cluster = new clusters.Cluster(THREE, 23);
  await cluster.startAll();
  const leader = cluster.findLeader()!.daemonId;
  const [second, third] = THREE.filter((id) => id !== leader) as [string, string];
  t.notOk(
    await requestVote(cluster, second, true),
    'no pre-vote while it is in contact with the leader',
  );
  t.notOk(
    await requestVote(cluster, second, false),
    'no vote while it is in contact with the leader',
  );
  cluster.kill(third);
  cluster.start(third);
  THREE.forEach((id) => cluster.block(id, third));
  await cluster.clock.advance(50);
  t.notOk(await requestVote(cluster, third, false), 'no vote right after a restart');
  await cluster.clock.advance(350);
  t.ok(await requestVote(cluster, third, false), 'a vote after an election timeout');
});

void tap.default.test(
  'a data directory without a voter slot neither votes nor counts',
  async (t) => {
    // One voter is down and the other has lost its disk. If the empty data directory counted, a command would be
    // accepted that is on one disk only.
    const cluster = new clusters.Cluster(THREE, 29);
    await cluster.startAll();
    const leader = cluster.findLeader()!;
    const [second, third] = THREE.filter((id) => id !== leader.daemonId) as [string, string];
    cluster.kill(third);
    cluster.loseDisk(second);
    cluster.start(second);
    await cluster.clock.advance(300);
    let isAccepted = false;
    void leader.leadership?.propose('alone').then(
      () => {
        isAccepted = true;
      },
      () => {},
    );
    await cluster.clock.advance(3_000);
    t.notOk(isAccepted, 'the command is not accepted');
    t.notOk(await requestVote(cluster, second, false), 'and the data directory grants no vote');
  },
);

void tap.default.test(
  'a voter that was partitioned does not depose the leader on its return',
  async (t) => {
    // While partitioned it starts one election after another. If each raised its term, the leader would receive the
    // higher term once the partition heals and step down, though a majority never lost contact with it.
    const cluster = new clusters.Cluster(THREE, 31);
    await cluster.startAll();
    const leader = cluster.findLeader()!;
    const partitioned = THREE.find((id) => id !== leader.daemonId)!;
    const { term } = leader;
    cluster.isolate(partitioned);
    await cluster.clock.advance(10_000);
    cluster.heal();
    await cluster.clock.advance(3_000);
    t.equal(cluster.findLeader()?.daemonId, leader.daemonId);
    t.equal(leader.term, term);
  },
);

void tap.default.test(
  'voters that all restart elect a leader as soon as no lease can be valid',
  async (t) => {
    // All hosts refuse calls until there is a leader. All voters lose power at once and restart. None has been in
    // contact with a leader since, so any earlier lease has ended after 200 ms; waiting for an election timeout of 300
    // to 600 ms instead would only delay the election.
    for (let seed = 1; seed <= 12; seed += 1) {
      const cluster = new clusters.Cluster(THREE, seed);
      await cluster.startAll();
      THREE.forEach((id) => cluster.kill(id));
      await cluster.clock.advance(50);
      const startedAt = cluster.clock.now();
      THREE.forEach((id) => cluster.start(id));
      while (cluster.findLeader() === undefined && cluster.clock.now() < startedAt + 5_000) {
        await cluster.clock.advance(5);
      }
      const tookMs = cluster.clock.now() - startedAt;
      t.ok(tookMs >= 200, `seed ${seed}: no leader while a lease may be valid (${tookMs} ms)`);
      t.ok(tookMs <= 500, `seed ${seed}: a leader after ${tookMs} ms`);
    }
  },
);
