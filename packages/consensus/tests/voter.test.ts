import * as tap from 'tap';

import * as clusters from './support/cluster.js';

const THREE = ['v1', 'v2', 'v3'];

async function propose(cluster: clusters.Cluster, id: string): Promise<void> {
  const done = cluster.findLeader()?.leadership?.propose(id);
  await cluster.clock.advance(500);
  await done;
}

void tap.default.test('a lost disk is never a blank vote', async (t) => {
  // The operator's accepted command must survive.
  // v3 never hears it; v1 and v2 accept it; v2 loses its disk and comes back blank; v1 is cut off.
  // If the blank v2 voted, v3 would be elected without the command.
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
  t.equal(others.length, 0, 'nobody is elected without the command');
  cluster.heal();
  await cluster.clock.advance(5_000);
  await propose(cluster, 'later');
  t.same(cluster.getApplied(third), ['accepted', 'later']);
});

void tap.default.test('a lost disk is seated again, then a second host is lost', async (t) => {
  // The operator adds the repaired voter; right after, another one is lost; nothing accepted is lost.
  const cluster = new clusters.Cluster(THREE, 11);
  await cluster.startAll();
  const leader = cluster.findLeader()!;
  const [second, third] = THREE.filter((id) => id !== leader.daemonId) as [string, string];
  await propose(cluster, 'one');
  cluster.loseDisk(second);
  cluster.start(second);
  await cluster.clock.advance(2_000);
  const { voterId } = cluster.nodes.get(second)!.voter!;
  t.notOk(cluster.nodes.get(second)!.voter!.hasSlot(), 'the new folder holds no seat yet');
  const added = leader.leadership!.addVoter({ daemonId: second, voterId });
  await cluster.clock.advance(3_000);
  await added;
  t.ok(cluster.nodes.get(second)!.voter!.hasSlot(), 'the new folder is seated');
  cluster.kill(third);
  await cluster.clock.advance(3_000);
  await propose(cluster, 'two');
  t.same(cluster.getApplied(second), ['one', 'two']);
});

void tap.default.test('a leader that is cut off steps down and its lease ends first', async (t) => {
  // The isolated leader still believes; a new one is elected only after the old lease is over.
  const cluster = new clusters.Cluster(THREE, 3);
  await cluster.startAll();
  const old = cluster.findLeader()!;
  cluster.isolate(old.daemonId);
  let held = 0;
  for (let i = 0; i < 300; i += 1) {
    await cluster.clock.advance(10);
    const leased = cluster.listLeaders().filter((voter) => voter.leadership?.isLeaseHeld());
    held = Math.max(held, leased.length);
  }
  t.equal(held, 1, 'never two leases at once');
  t.notOk(old.isLeader(), 'the old leader stepped down');
  t.equal(cluster.listLeaders().length, 1, 'a new leader rose');
});

void tap.default.test('a one-way partition does not unseat a leader', async (t) => {
  // v3 can send but hears nothing: without pre-votes it would raise the term for ever.
  const cluster = new clusters.Cluster(THREE, 5);
  await cluster.startAll();
  const leader = cluster.findLeader()!;
  const deaf = THREE.find((id) => id !== leader.daemonId)!;
  THREE.forEach((id) => cluster.cut(id, deaf));
  const before = leader.term;
  await cluster.clock.advance(20_000);
  t.equal(cluster.findLeader()?.daemonId, leader.daemonId);
  t.equal(leader.term, before);
});

void tap.default.test('a follower behind the log is brought up by a snapshot', async (t) => {
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

void tap.default.test('every voter restarted keeps what was accepted', async (t) => {
  const cluster = new clusters.Cluster(THREE, 17);
  await cluster.startAll();
  await propose(cluster, 'one');
  THREE.forEach((id) => cluster.kill(id));
  THREE.forEach((id) => cluster.start(id));
  await cluster.clock.advance(5_000);
  await propose(cluster, 'two');
  THREE.forEach((id) => t.same(cluster.getApplied(id), ['one', 'two']));
});

/** What a voter says to a candidate of the next term with the same log. */
async function askVote(cluster: clusters.Cluster, at: string, pre: boolean): Promise<boolean> {
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

void tap.default.test('a voter helps nobody while a leader may hold its lease', async (t) => {
  // A voter that hears the leader, or has just restarted and can't know, would help a second leader up
  // while the first still holds its lease and gives orders.
  const cluster = new clusters.Cluster(THREE, 23);
  await cluster.startAll();
  const leader = cluster.findLeader()!.daemonId;
  const [second, third] = THREE.filter((id) => id !== leader) as [string, string];
  t.notOk(await askVote(cluster, second, true), 'nor in advance');
  t.notOk(await askVote(cluster, second, false), 'it hears the leader');
  cluster.kill(third);
  cluster.start(third);
  THREE.forEach((id) => cluster.cut(id, third));
  await cluster.clock.advance(50);
  t.notOk(await askVote(cluster, third, false), 'it has just restarted');
  await cluster.clock.advance(350);
  t.ok(await askVote(cluster, third, false), 'after an election timeout it may');
});

void tap.default.test('a folder without a seat neither votes nor counts', async (t) => {
  // The leader has one voter left, whose disk was lost. Counting the blank folder would accept a command
  // that only one disk holds.
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
  t.notOk(await askVote(cluster, second, false), 'and the folder gives no vote');
});

void tap.default.test(
  'a voter that was cut off does not unseat the leader on its return',
  async (t) => {
    // Alone it stands for election again and again. If it raised its term each time, the leader would hear
    // of the higher term after the heal and step down, though a majority had heard it all along.
    const cluster = new clusters.Cluster(THREE, 31);
    await cluster.startAll();
    const leader = cluster.findLeader()!;
    const away = THREE.find((id) => id !== leader.daemonId)!;
    const { term } = leader;
    cluster.isolate(away);
    await cluster.clock.advance(10_000);
    cluster.heal();
    await cluster.clock.advance(3_000);
    t.equal(cluster.findLeader()?.daemonId, leader.daemonId);
    t.equal(leader.term, term);
  },
);

void tap.default.test(
  'voters that all start anew agree as soon as no lease can be left',
  async (t) => {
    // Callers are refused by every host until there is a leader. All voters lose power at once and come back.
    // Nobody heard a leader since, so a lease that one of them helped to is over after 200 ms; an election timeout
    // of 300 to 600 ms on top of it would be waited for nothing.
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
      t.ok(tookMs >= 200, `seed ${seed}: no leader while a lease may be left (${tookMs} ms)`);
      t.ok(tookMs <= 500, `seed ${seed}: a leader after ${tookMs} ms`);
    }
  },
);
