import type * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

import * as clusters from './support/cluster.js';

const KIB = 1024;
const MIB = 1024 * KIB;
const THREE = ['v1', 'v2', 'v3'];

/** 10 Mbit/s. */
const SLOW_BYTES_PER_MS = 1_250;

interface Site {
  readonly cluster: clusters.Cluster;
  readonly leader: consensus.Voter;
  readonly others: readonly string[];
}

async function start(seed: number, snapshotEvery = 1_000): Promise<Site> {
  const cluster = new clusters.Cluster(THREE, seed);
  cluster.snapshotEvery = snapshotEvery;
  await cluster.startAll();
  const leader = cluster.findLeader()!;
  return { cluster, leader, others: THREE.filter((id) => id !== leader.daemonId) };
}

/** Proposes commands of a size until all are accepted. */
async function propose(cluster: clusters.Cluster, ids: readonly string[], bytes: number) {
  for (const id of ids) {
    const accepted: string[] = [];
    while (accepted.length === 0) {
      cluster
        .findLeader()
        ?.leadership?.propose({ id, pad: 'x'.repeat(bytes) })
        .then(
          () => accepted.push(id),
          () => {},
        );
      for (let i = 0; i < 100 && accepted.length === 0; i += 1) {
        await cluster.clock.advance(20);
      }
    }
  }
}

function createIds(count: number, prefix = 'c'): string[] {
  return Array.from({ length: count }, (_, i) => `${prefix}${i}`);
}

function getSlot(cluster: clusters.Cluster, daemonId: string): consensus.VoterSlot {
  return { daemonId, voterId: cluster.nodes.get(daemonId)!.voter!.voterId };
}

/** Starts to replace a voter by the spare host; the promise returns whether it succeeded. */
function startReplacement(cluster: clusters.Cluster, removed: string): Promise<boolean> {
  const change = cluster
    .findLeader()
    ?.leadership?.changeVoters((voters) => [
      ...voters.filter((slot) => slot.daemonId !== removed && slot.daemonId !== 'spare'),
      getSlot(cluster, 'spare'),
    ]);
  return (change ?? Promise.reject(new Error('no leader'))).then(
    () => true,
    () => false,
  );
}

/** Tries to replace a voter by the spare host until it succeeds or a time is over; returns whether it did. */
async function replaceVoter(cluster: clusters.Cluster, removed: string, limitMs: number) {
  const endsAt = cluster.clock.now() + limitMs;
  let isReplaced = false;
  while (!isReplaced && cluster.clock.now() < endsAt) {
    const results: boolean[] = [];
    void startReplacement(cluster, removed).then((result) => results.push(result));
    while (results.length === 0 && cluster.clock.now() < endsAt) {
      await cluster.clock.advance(20);
    }
    isReplaced = results[0] ?? false;
  }
  return isReplaced;
}

void tap.default.test('an empty host joins a log that is larger than one request', async (t) => {
  // Guards against a host that never becomes a voter because it is sent all entries at once.
  const cases = [
    { name: 'many entries', count: 60, bytes: 20 * KIB, maxRequestBytes: 600 * KIB },
    { name: 'large entries', count: 40, bytes: 500 * KIB, maxRequestBytes: MIB },
  ];
  for (const { bytes, count, maxRequestBytes, name } of cases) {
    const { cluster, others } = await start(61);
    const ids = createIds(count);
    await propose(cluster, ids, bytes);
    cluster.maxRequestBytes = maxRequestBytes;
    cluster.start('spare');
    await cluster.clock.advance(500);
    cluster.kill(others[0]!);
    t.ok(await replaceVoter(cluster, others[0]!, 10_000), `${name}: it becomes a voter`);
    cluster.kill(others[1]!);
    await propose(cluster, ['after'], 10);
    await cluster.clock.advance(1_000);
    t.same(cluster.getApplied('spare'), [...ids, 'after'], `${name}: and has every entry`);
  }
});

void tap.default.test('an empty host receives a large state over a slow link', async (t) => {
  // Guards against a new voter that is given up, again and again, while it receives what it needs.
  for (const { name, later } of [
    { name: 'in an entry', later: 0 },
    { name: 'in a snapshot', later: 60 },
  ]) {
    const { cluster, others } = await start(83, 50);
    const id = 'x'.repeat(6 * MIB);
    await propose(cluster, [id, ...createIds(later)], 10);
    cluster.linkBytesPerMs = SLOW_BYTES_PER_MS;
    cluster.start('spare');
    await cluster.clock.advance(500);
    cluster.kill(others[0]!);
    const results: boolean[] = [];
    void startReplacement(cluster, others[0]!).then((result) => results.push(result));
    await cluster.clock.advance(10_000);
    t.same(results, [true], `${name}: it becomes a voter at the first attempt`);
    t.equal(cluster.getApplied('spare')[0]?.length, id.length);
  }
});

void tap.default.test('a host that missed much catches up over a slow link', async (t) => {
  // Guards against a host that falls behind for good because changes come faster than its link carries them.
  const { cluster, others } = await start(67);
  const [late] = others;
  cluster.kill(late!);
  await propose(cluster, createIds(40), 170 * KIB);
  cluster.linkBytesPerMs = SLOW_BYTES_PER_MS;
  cluster.start(late!);
  const { term } = cluster.findLeader()!;
  await cluster.clock.advance(3_000);
  t.same(cluster.getApplied(late!), createIds(40), 'sooner than its link carries all entries');
  await propose(cluster, createIds(20, 'd'), 170 * KIB);
  await cluster.clock.advance(3_000);
  t.same(cluster.getApplied(late!), [...createIds(40), ...createIds(20, 'd')]);
  t.equal(cluster.findLeader()!.term, term, 'under the same leader');
});

void tap.default.test('a large entry on a slow link causes no election', async (t) => {
  // Guards against voters that take their leader for lost while they receive one entry.
  const { cluster, leader } = await start(71);
  cluster.linkBytesPerMs = SLOW_BYTES_PER_MS;
  const { term } = leader;
  void leader.leadership!.propose({ id: 'large', pad: 'x'.repeat(4 * MIB) });
  await cluster.clock.advance(8_000);
  THREE.forEach((id) => t.same(cluster.getApplied(id), ['large'], `${id} has it`));
  t.equal(cluster.findLeader()!.term, term, 'the leader stays');
});

void tap.default.test('a host catches up although others fail meanwhile', async (t) => {
  // Guards against a catch-up that starts anew with each failure and never ends.
  const failures = {
    'the leader is lost': (cluster: clusters.Cluster) => {
      const { daemonId } = cluster.findLeader()!;
      cluster.kill(daemonId);
      return daemonId;
    },
    'the host restarts': (cluster: clusters.Cluster, late: string) => {
      cluster.kill(late);
      return late;
    },
  };
  for (const [name, fail] of Object.entries(failures)) {
    for (const afterMs of [100, 700, 1_500, 4_000]) {
      const { cluster, others } = await start(73);
      const late = others[0]!;
      cluster.kill(late);
      await propose(cluster, createIds(80), 100 * KIB);
      cluster.linkBytesPerMs = SLOW_BYTES_PER_MS;
      cluster.start(late);
      await cluster.clock.advance(afterMs);
      const failed = fail(cluster, late);
      await cluster.clock.advance(300);
      cluster.start(failed);
      await propose(cluster, createIds(5, 'd'), 100 * KIB);
      await cluster.clock.advance(8_000);
      const expected = [...createIds(80), ...createIds(5, 'd')];
      t.same(new Set(cluster.getApplied(late)), new Set(expected), `${name} after ${afterMs} ms`);
    }
  }
});

void tap.default.test('a leader refuses what it could not store', async (t) => {
  // Guards against a leader that accepts an entry that no host takes, or more than its memory holds.
  const { cluster, leader } = await start(79);
  const pad = 'x'.repeat(9 * MIB);
  const send = (data: unknown) => leader.leadership!.propose(data);
  await t.rejects(send({ id: 'huge', pad: pad + pad }), /over the limit of 10485760/);
  cluster.isolate(leader.daemonId);
  const { lastIndex } = leader.entries;
  const pending = ['a', 'b'].map((id) => send({ id, pad }).catch(() => {}));
  await t.rejects(send({ id: 'c', pad }), /waits for a majority of its voters to store 18/);
  t.equal(leader.entries.lastIndex, lastIndex + 2, 'nothing refused is appended');
  cluster.heal();
  await cluster.clock.advance(3_000);
  await Promise.all(pending);
  await propose(cluster, ['d'], 9 * MIB);
  t.ok(cluster.getApplied(leader.daemonId).includes('d'), 'and later ones are accepted');
});
