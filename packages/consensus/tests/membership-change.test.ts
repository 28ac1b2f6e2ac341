import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as clusters from './support/cluster.js';

const THREE = ['v1', 'v2', 'v3'];

/** Times after the start of a change at which a fault is injected, in milliseconds. */
const FAULT_TIMES_MS = Array.from({ length: 30 }, (_, i) => i * 2);

interface Roles {
  readonly cluster: clusters.Cluster;
  readonly leader: consensus.Voter;
  /** The two other initial voters. */
  readonly others: readonly [string, string];
}

/** Starts three voters, one of which is the leader, and a host without a voter slot. */
async function start(seed: number): Promise<Roles> {
  const cluster = new clusters.Cluster(THREE, seed);
  await cluster.startAll();
  cluster.start('spare');
  await cluster.clock.advance(500);
  const leader = cluster.findLeader()!;
  const [one, two] = THREE.filter((id) => id !== leader.daemonId);
  return { cluster, leader, others: [one!, two!] };
}

function getSlot(cluster: clusters.Cluster, daemonId: string): consensus.VoterSlot {
  return { daemonId, voterId: cluster.nodes.get(daemonId)!.voter!.voterId };
}

/** Replaces one voter by the spare host. */
function replaceVoter({ cluster, leader }: Roles, removed: string): Promise<void> {
  return leader.leadership!.changeVoters((voters) => [
    ...voters.filter((slot) => slot.daemonId !== removed),
    getSlot(cluster, 'spare'),
  ]);
}

/** Whether a command is accepted by any leader within 5 s. */
async function isAccepted(cluster: clusters.Cluster, id: string): Promise<boolean> {
  const accepted: string[] = [];
  for (let i = 0; i < 100 && accepted.length === 0; i += 1) {
    cluster.listLeaders().forEach((leader) => {
      leader.leadership!.propose(id).then(
        () => accepted.push(id),
        () => {},
      );
    });
    await cluster.clock.advance(50);
  }
  return accepted.length > 0;
}

function listVoters(voter: consensus.Voter | undefined): string[] {
  return (
    voter?.entries
      .getVoters()
      .map((slot) => slot.daemonId)
      .sort() ?? []
  );
}

void tap.default.test(
  'the leader and a replacement are no majority of the former voters',
  async (t) => {
    // Guards against two leaders at once, which would serve calls with different configurations. The leader and the
    // replacement are partitioned from the two other voters during the change. The former are two of the next three
    // voters; the latter are two of the former three and elect another leader.
    for (const at of FAULT_TIMES_MS) {
      const roles = await start(41);
      const { cluster, leader, others } = roles;
      const [removed, remaining] = others;
      replaceVoter(roles, removed).catch(() => {});
      await cluster.clock.advance(at);
      others.forEach((other) => {
        [leader.daemonId, 'spare'].forEach((id) => {
          cluster.block(id, other);
          cluster.block(other, id);
        });
      });
      let leased = 0;
      for (let i = 0; i < 200; i += 1) {
        await cluster.clock.advance(20);
        const held = cluster.listLeaders().filter((voter) => voter.leadership?.isLeaseHeld());
        leased = Math.max(leased, held.length);
      }
      cluster.heal();
      const isAlive = await isAccepted(cluster, 'healed');
      await cluster.clock.advance(1_000);
      t.ok(leased <= 1, `after ${at} ms: ${leased} leases at once`);
      t.ok(isAlive, `after ${at} ms: commands are accepted once the partition heals`);
      t.ok(
        cluster.getApplied(remaining).includes('healed'),
        `after ${at} ms: and the remaining voter has applied it`,
      );
    }
  },
);

void tap.default.test(
  'a replacement that fails during the change does not stop the log',
  async (t) => {
    // Guards against a log that accepts no more commands. A voter is dead, and its replacement fails while it is being
    // added. The two remaining voters were sufficient before the change and must be at every step of it.
    for (const at of FAULT_TIMES_MS) {
      const roles = await start(43);
      const { cluster, others } = roles;
      cluster.kill(others[0]);
      replaceVoter(roles, others[0]).catch(() => {});
      await cluster.clock.advance(at);
      cluster.kill('spare');
      t.ok(await isAccepted(cluster, 'after'), `after ${at} ms`);
    }
  },
);

void tap.default.test('the next leader finishes the change or reverts it', async (t) => {
  // An unfinished change would require the majorities of both groups forever, and the next loss would stop the log. The
  // leader fails during the change and restarts; the voter that is being replaced stays dead.
  for (const at of FAULT_TIMES_MS) {
    const roles = await start(47);
    const { cluster, leader, others } = roles;
    const [removed, remaining] = others;
    cluster.kill(removed);
    replaceVoter(roles, removed).catch(() => {});
    await cluster.clock.advance(at);
    cluster.kill(leader.daemonId);
    await cluster.clock.advance(700);
    cluster.start(leader.daemonId);
    t.ok(await isAccepted(cluster, 'after'), `after ${at} ms: commands are accepted`);
    await cluster.clock.advance(2_000);
    const voterSet = cluster.findLeader()!.entries.getVoterSet();
    t.equal(voterSet.former, undefined, `after ${at} ms: there is one group of voters`);
    const voters = listVoters(cluster.findLeader());
    const wanted = [[leader.daemonId, remaining, 'spare'].sort(), [...THREE]];
    t.ok(
      wanted.some((item) => item.join() === voters.join()),
      `after ${at} ms: ${voters}`,
    );
  }
});

void tap.default.test('a new voter has the whole log before the change is appended', async (t) => {
  // A long log is sent in several messages. If a new voter counted from the first one on, it would be one of three
  // voters while it lacks accepted commands, and the next loss would leave a single voter that has them.
  const cluster = new clusters.Cluster(THREE, 79);
  cluster.snapshotEvery = 10_000;
  await cluster.startAll();
  const leader = cluster.findLeader()!;
  const others = THREE.filter((id) => id !== leader.daemonId) as [string, string];
  for (let i = 0; i < 1_000; i += 1) {
    leader.leadership!.propose(`c${i}`).catch(() => {});
  }
  await cluster.clock.advance(2_000);
  t.equal(leader.commitIndex, 1_001);
  cluster.start('spare');
  await cluster.clock.advance(500);
  replaceVoter({ cluster, leader, others }, others[0]).catch(() => {});
  while (leader.entries.getVoterSet().former === undefined) {
    await cluster.clock.advance(1);
  }
  const { lastIndex } = cluster.nodes.get('spare')!.voter!.entries;
  t.ok(lastIndex >= 1_001, `it has ${lastIndex} entries`);
});

void tap.default.test('no change is appended for a new voter that does not respond', async (t) => {
  // A change started with a dead new voter would have to be reverted: it would cost two entries, and for more than a
  // second the majorities of both groups would be required.
  const roles = await start(67);
  const { cluster, leader, others } = roles;
  cluster.kill('spare');
  const { lastIndex } = leader.entries;
  let failed = '';
  replaceVoter(roles, others[0]).catch((err: Error) => {
    failed = err.name;
  });
  await cluster.clock.advance(2_000);
  t.equal(failed, 'linkClosed');
  t.equal(leader.entries.lastIndex, lastIndex, 'the log contains no entry for it');
  t.ok(await isAccepted(cluster, 'after'));
});

void tap.default.test('a change completes only when the new voter can vote', async (t) => {
  // Guards against a log that stops after a completed change: a voter is dead, the replacement's link fails briefly,
  // and the leader completes the change with the responses of the two others. Then the leader is lost permanently. The
  // replacement has not received its voter slot, so it grants no vote.
  const roles = await start(71);
  const { cluster, leader, others } = roles;
  const [removed] = others;
  cluster.kill(removed);
  let isOver = false;
  void replaceVoter(roles, removed).then(() => {
    isOver = true;
  });
  while (leader.entries.getVoterSet().former === undefined) {
    await cluster.clock.advance(1);
  }
  cluster.block(leader.daemonId, 'spare');
  await cluster.clock.advance(200);
  t.notOk(isOver, 'the change waits for the replacement');
  cluster.heal();
  while (!isOver) {
    await cluster.clock.advance(1);
  }
  cluster.kill(leader.daemonId);
  t.ok(await isAccepted(cluster, 'after'), 'the other voter and the replacement accept commands');
});

void tap.default.test('a change is reverted when the new voter is lost during it', async (t) => {
  // The voter that was being replaced comes back with its disk, and then another one is permanently lost. If the lost
  // new voter had got the slot, only the leader would be left of three voters.
  const roles = await start(73);
  const { cluster, leader, others } = roles;
  const [replaced, remaining] = others;
  cluster.kill(replaced);
  replaceVoter(roles, replaced).catch(() => {});
  while (leader.entries.getVoterSet().former === undefined) {
    await cluster.clock.advance(1);
  }
  // Isolated first, since a response in flight would still count.
  cluster.isolate('spare');
  cluster.kill('spare');
  await cluster.clock.advance(2_000);
  t.same(listVoters(cluster.findLeader()), THREE);
  cluster.start(replaced);
  await cluster.clock.advance(1_000);
  cluster.kill(remaining);
  t.ok(await isAccepted(cluster, 'after'));
});

void tap.default.test('a removed voter receives its removal', async (t) => {
  // Otherwise it would keep starting elections and report to operators that it is a voter.
  const roles = await start(53);
  const { cluster, others } = roles;
  const changed = replaceVoter(roles, others[0]);
  await cluster.clock.advance(1_500);
  await changed;
  t.notOk(cluster.nodes.get(others[0])!.voter!.hasSlot());
  t.ok(cluster.nodes.get('spare')!.voter!.hasSlot());
  t.ok(await isAccepted(cluster, 'after'));
});

void tap.default.test('a leader removes itself and another one is elected', async (t) => {
  const roles = await start(59);
  const { cluster, leader } = roles;
  const changed = replaceVoter(roles, leader.daemonId).catch(() => {});
  await cluster.clock.advance(3_000);
  await changed;
  t.notOk(leader.isLeader());
  t.notOk(leader.hasSlot());
  t.not(cluster.findLeader()?.daemonId, leader.daemonId);
  t.ok(await isAccepted(cluster, 'after'));
});

void tap.default.test('a change is computed from the voters at its start', async (t) => {
  // Two changes overlap. If the second were computed from the voters before the first, it would undo the first.
  const { cluster, leader, others } = await start(61);
  const seen: string[][] = [];
  const drop = (removed: string) =>
    leader.leadership!.changeVoters((voters) => {
      seen.push(voters.map((slot) => slot.daemonId).sort());
      return voters.filter((slot) => slot.daemonId !== removed);
    });
  const both = Promise.all([drop(others[0]), drop(others[1])]);
  await cluster.clock.advance(2_000);
  await both;
  t.same(seen, [[...THREE], [leader.daemonId, others[1]].sort()]);
  t.same(listVoters(leader), [leader.daemonId]);
});

void tap.default.test('the voter set is recovered from disk, also during a change', async (t) => {
  const former = THREE.map((id) => ({ daemonId: id, voterId: id }));
  const seats = [...former.slice(1), { daemonId: 'spare', voterId: 'spare' }];
  const files = new fakes.MemoryFiles();
  const wal = new consensus.Wal(files);
  const rest = { term: 1, votedFor: null, entries: [] };
  const snapshot = {
    lastIndex: 4,
    lastTerm: 1,
    voters: seats,
    formerVoters: former,
    state: null,
  };
  await wal.compact(snapshot, () => rest);
  const open = async () =>
    new consensus.EntryLog(await new consensus.Wal(files.reopen()).recover(), former);
  t.same((await open()).getVoterSet(), { seats, former }, 'from a snapshot');
  const entry = { index: 5, term: 1, kind: 'voters' as const, data: { seats } };
  await wal.append({ kind: 'entries', entries: [entry] });
  t.same((await open()).getVoterSet(), { seats }, 'from an entry');
  await wal.append({ kind: 'entries', entries: [{ ...entry, index: 6, data: former }] });
  t.same((await open()).getVoterSet(), { seats: former }, 'from an entry of an earlier version');
});
