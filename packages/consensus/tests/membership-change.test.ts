import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as clusters from './support/cluster.js';

const THREE = ['v1', 'v2', 'v3'];

/** One moment after another at which something happens in the middle of a change, in milliseconds. */
const MOMENTS_MS = Array.from({ length: 30 }, (_, i) => i * 2);

interface Roles {
  readonly cluster: clusters.Cluster;
  readonly leader: consensus.Voter;
  /** The two other first voters. */
  readonly others: readonly [string, string];
}

/** Three voters, one of which leads, and a host without a seat. */
async function start(seed: number): Promise<Roles> {
  const cluster = new clusters.Cluster(THREE, seed);
  await cluster.startAll();
  cluster.start('spare');
  await cluster.clock.advance(500);
  const leader = cluster.findLeader()!;
  const [one, two] = THREE.filter((id) => id !== leader.daemonId);
  return { cluster, leader, others: [one!, two!] };
}

function getSeat(cluster: clusters.Cluster, daemonId: string): consensus.VoterSlot {
  return { daemonId, voterId: cluster.nodes.get(daemonId)!.voter!.voterId };
}

/** Gives one voter's seat to the spare host. */
function swap({ cluster, leader }: Roles, gone: string): Promise<void> {
  return leader.leadership!.changeVoters((seats) => [
    ...seats.filter((seat) => seat.daemonId !== gone),
    getSeat(cluster, 'spare'),
  ]);
}

/** Whether a command is accepted by whoever leads, in time. */
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

function listSeats(voter: consensus.Voter | undefined): string[] {
  return (
    voter?.entries
      .getVoters()
      .map((seat) => seat.daemonId)
      .sort() ?? []
  );
}

void tap.default.test(
  'a stand-in with the leader is no majority of the former voters',
  async (t) => {
    // Callers would be served by two leaders at once, each with configurations of its own.
    // The leader and the stand-in are cut off from the two other voters in the middle of the change. The stand-in's vote and
    // the leader's are two of the next three; the two others are two of the former three, and elect another.
    for (const at of MOMENTS_MS) {
      const roles = await start(41);
      const { cluster, leader, others } = roles;
      const [gone, stays] = others;
      swap(roles, gone).catch(() => {});
      await cluster.clock.advance(at);
      others.forEach((other) => {
        [leader.daemonId, 'spare'].forEach((id) => {
          cluster.cut(id, other);
          cluster.cut(other, id);
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
      t.ok(isAlive, `after ${at} ms: the log goes on once healed`);
      t.ok(
        cluster.getApplied(stays).includes('healed'),
        `after ${at} ms: and the voter that stays has it`,
      );
    }
  },
);

void tap.default.test('a stand-in that dies on the way costs nothing', async (t) => {
  // Operators could change nothing any more. A voter is dead, and its stand-in dies while it gets the seat: the two
  // voters that are left were enough before, and must be at every step.
  for (const at of MOMENTS_MS) {
    const roles = await start(43);
    const { cluster, others } = roles;
    cluster.kill(others[0]);
    swap(roles, others[0]).catch(() => {});
    await cluster.clock.advance(at);
    cluster.kill('spare');
    t.ok(await isAccepted(cluster, 'after'), `after ${at} ms`);
  }
});

void tap.default.test('whoever leads next finishes the change, or takes it back', async (t) => {
  // A change of configuration would need the majorities of both groups for ever, and the next loss would stop the log.
  // The leader dies in the middle of the change and comes back; the voter whose seat was to be given away stays dead.
  for (const at of MOMENTS_MS) {
    const roles = await start(47);
    const { cluster, leader, others } = roles;
    const [gone, stays] = others;
    cluster.kill(gone);
    swap(roles, gone).catch(() => {});
    await cluster.clock.advance(at);
    cluster.kill(leader.daemonId);
    await cluster.clock.advance(700);
    cluster.start(leader.daemonId);
    t.ok(await isAccepted(cluster, 'after'), `after ${at} ms: the log goes on`);
    await cluster.clock.advance(2_000);
    const seating = cluster.findLeader()!.entries.getVoterSet();
    t.equal(seating.former, undefined, `after ${at} ms: one group votes`);
    const seats = listSeats(cluster.findLeader());
    const wanted = [[leader.daemonId, stays, 'spare'].sort(), [...THREE]];
    t.ok(
      wanted.some((item) => item.join() === seats.join()),
      `after ${at} ms: ${seats}`,
    );
  }
});

void tap.default.test('a newcomer holds the whole log before it is proposed', async (t) => {
  // A long log comes in several messages. A newcomer that counted from the first one on would be one of the three while
  // it lacks what was accepted, and the next loss would leave one voter that has it.
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
  swap({ cluster, leader, others }, others[0]).catch(() => {});
  while (leader.entries.getVoterSet().former === undefined) {
    await cluster.clock.advance(1);
  }
  const { lastIndex } = cluster.nodes.get('spare')!.voter!.entries;
  t.ok(lastIndex >= 1_001, `it has ${lastIndex} entries`);
});

void tap.default.test('a newcomer that does not answer is not even proposed', async (t) => {
  // A change that begins with a dead newcomer would have to be taken back, for two entries and a second and more in which
  // both groups are needed.
  const roles = await start(67);
  const { cluster, leader, others } = roles;
  cluster.kill('spare');
  const { lastIndex } = leader.entries;
  let failed = '';
  swap(roles, others[0]).catch((err: Error) => {
    failed = err.name;
  });
  await cluster.clock.advance(2_000);
  t.equal(failed, 'linkClosed');
  t.equal(leader.entries.lastIndex, lastIndex, 'the log has no entry of it');
  t.ok(await isAccepted(cluster, 'after'));
});

void tap.default.test('the change is over when the newcomer can help to elect', async (t) => {
  // The log stood still after a change that was done: a voter was dead, the stand-in's link hung for a moment, and the
  // leader counted the seat as given on the word of the two others. Then the leader died for good. The stand-in did not
  // know that it had a seat, so it helped nobody.
  const roles = await start(71);
  const { cluster, leader, others } = roles;
  const [gone] = others;
  cluster.kill(gone);
  let isOver = false;
  void swap(roles, gone).then(() => {
    isOver = true;
  });
  while (leader.entries.getVoterSet().former === undefined) {
    await cluster.clock.advance(1);
  }
  cluster.cut(leader.daemonId, 'spare');
  await cluster.clock.advance(200);
  t.notOk(isOver, 'not while the stand-in has not got it');
  cluster.heal();
  while (!isOver) {
    await cluster.clock.advance(1);
  }
  cluster.kill(leader.daemonId);
  t.ok(await isAccepted(cluster, 'after'), 'the other voter and the stand-in go on');
});

void tap.default.test('a change is taken back when the newcomer is lost on the way', async (t) => {
  // The voter whose seat was to be given away comes back with its disk, and then another is gone for good. Had the dead
  // newcomer got the seat, the leader alone would be left of three.
  const roles = await start(73);
  const { cluster, leader, others } = roles;
  const [away, stays] = others;
  cluster.kill(away);
  swap(roles, away).catch(() => {});
  while (leader.entries.getVoterSet().former === undefined) {
    await cluster.clock.advance(1);
  }
  // Cut off first: an answer that is under way would count.
  cluster.isolate('spare');
  cluster.kill('spare');
  await cluster.clock.advance(2_000);
  t.same(listSeats(cluster.findLeader()), THREE);
  cluster.start(away);
  await cluster.clock.advance(1_000);
  cluster.kill(stays);
  t.ok(await isAccepted(cluster, 'after'));
});

void tap.default.test('a host whose seat was taken away hears of it', async (t) => {
  // It would stand for election again and again, and say to its operators that it has a seat.
  const roles = await start(53);
  const { cluster, others } = roles;
  const changed = swap(roles, others[0]);
  await cluster.clock.advance(1_500);
  await changed;
  t.notOk(cluster.nodes.get(others[0])!.voter!.hasSlot());
  t.ok(cluster.nodes.get('spare')!.voter!.hasSlot());
  t.ok(await isAccepted(cluster, 'after'));
});

void tap.default.test('a leader gives its own seat away and another leads', async (t) => {
  const roles = await start(59);
  const { cluster, leader } = roles;
  const changed = swap(roles, leader.daemonId).catch(() => {});
  await cluster.clock.advance(3_000);
  await changed;
  t.notOk(leader.isLeader());
  t.notOk(leader.hasSlot());
  t.not(cluster.findLeader()?.daemonId, leader.daemonId);
  t.ok(await isAccepted(cluster, 'after'));
});

void tap.default.test('a plan is made upon the seats of its turn', async (t) => {
  // Two changes overlap: the second, planned upon the seats before the first, would give back what the first took.
  const { cluster, leader, others } = await start(61);
  const seen: string[][] = [];
  const drop = (gone: string) =>
    leader.leadership!.changeVoters((seats) => {
      seen.push(seats.map((seat) => seat.daemonId).sort());
      return seats.filter((seat) => seat.daemonId !== gone);
    });
  const both = Promise.all([drop(others[0]), drop(others[1])]);
  await cluster.clock.advance(2_000);
  await both;
  t.same(seen, [[...THREE], [leader.daemonId, others[1]].sort()]);
  t.same(listSeats(leader), [leader.daemonId]);
});

void tap.default.test(
  'who votes is read back from disk, in the middle of a change too',
  async (t) => {
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
  },
);
