import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const LEADER = { daemonId: 'v1', voterId: 'id-1' };
const FOLLOWER = { daemonId: 'v2', voterId: 'id-2' };

/** A follower whose disk replaces files only when it is told to. */
async function startFollower() {
  const files = new fakes.MemoryFiles();
  let isStuck = false;
  const release: (() => void)[] = [];
  const disk: consensus.FileStorage = {
    read: (name) => files.read(name),
    append: (name, bytes) => files.append(name, bytes),
    sync: (name) => files.sync(name),
    truncate: (name, length) => files.truncate(name, length),
    replace: async (name, bytes) => {
      if (isStuck) {
        await new Promise<void>((resolve) => {
          release.push(resolve);
        });
      }
      await files.replace(name, bytes);
    },
  };
  const voter = await consensus.Voter.create({
    daemonId: FOLLOWER.daemonId,
    genesis: { voterId: FOLLOWER.voterId, voters: [LEADER, FOLLOWER] },
    wal: new consensus.Wal(disk),
    machine: { apply: () => undefined, getSnapshot: () => 'state', restore: () => undefined },
    transport: {} as consensus.Transport,
    clock: new schemas.VirtualClock(),
    log: new schemas.SilentLog(),
    timings: { electionMs: 300, leaseMs: 200 },
    random: () => 0.5,
  });
  const setStuck = (value: boolean) => {
    isStuck = value;
    release.splice(0).forEach((resolve) => resolve());
  };
  return { voter, files, setStuck };
}

function createSnapshot(lastIndex: number): consensus.SnapshotReq {
  const voters = [LEADER, FOLLOWER];
  return { term: 1, leader: LEADER.daemonId, lastIndex, lastTerm: 1, voters, state: 'state' };
}

function createAppend(count: number): consensus.AppendReq {
  const entries = Array.from({ length: count }, (_, i) => ({
    index: i + 1,
    term: 1,
    kind: 'command' as const,
    data: `c${i + 1}`,
  }));
  return { term: 1, leader: LEADER.daemonId, prevIndex: 0, prevTerm: 0, entries, commit: 0 };
}

async function settle(): Promise<void> {
  for (let i = 0; i < 20; i += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

void tap.default.test('a snapshot that arrives twice is acknowledged when on disk', async (t) => {
  // Guards against a host that counts towards a majority with a snapshot that a loss of power would take.
  const { files, setStuck, voter } = await startFollower();
  setStuck(true);
  const answers: consensus.AppendRes[] = [];
  void voter.handleSnapshot(createSnapshot(7)).then((res) => answers.push(res));
  await settle();
  void voter.handleSnapshot(createSnapshot(7)).then((res) => answers.push(res));
  await settle();
  t.same(answers, [], 'not while the disk works');
  setStuck(false);
  await settle();
  t.same(
    answers.map(({ match, ok }) => [ok, match]),
    [
      [true, 7],
      [true, 7],
    ],
  );
  const recovered = await new consensus.Wal(files.reopen()).recover();
  t.equal(recovered.snapshot?.lastIndex, 7);
});

void tap.default.test('entries after a snapshot stay', async (t) => {
  // Guards against the loss of entries that this host has acknowledged, and that are committed for that.
  const { files, voter } = await startFollower();
  t.match(await voter.handleAppend(createAppend(5)), { ok: true, match: 5 });
  t.match(await voter.handleSnapshot(createSnapshot(3)), { ok: true, match: 3 });
  t.equal(voter.entries.lastIndex, 5, 'in memory');
  const recovered = await new consensus.Wal(files.reopen()).recover();
  t.same(
    recovered.entries.map(({ index }) => index),
    [4, 5],
    'and on disk',
  );
  const other = await startFollower();
  await other.voter.handleAppend(createAppend(5));
  await other.voter.handleSnapshot({ ...createSnapshot(3), term: 2, lastTerm: 2 });
  t.equal(other.voter.entries.lastIndex, 3, 'but not those of another history');
});
