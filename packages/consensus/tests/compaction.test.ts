import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as limitedDisks from './support/limited-disk.js';

const MIB = 1024 * 1024;

/** Disk of a core host on the users' machines. */
const DISK_BYTES = 128 * MIB;

/** A voter of two, which the other one leads. */
async function startFollower(disk: limitedDisks.LimitedDisk) {
  const voters = ['v1', 'v2'].map((daemonId) => ({ daemonId, voterId: `id-${daemonId}` }));
  const voter = await consensus.Voter.create({
    daemonId: 'v2',
    genesis: { voterId: 'id-v2', voters },
    wal: new consensus.Wal(disk),
    machine: { apply: () => undefined, getSnapshot: () => '', restore: () => undefined },
    transport: {} as consensus.Transport,
    clock: new schemas.VirtualClock(),
    log: new schemas.SilentLog(),
    timings: { electionMs: 300, leaseMs: 200 },
    random: () => 0.5,
  });
  return { voter };
}

/** A voter alone, whose state is the last command. */
async function startAlone(disk: limitedDisks.LimitedDisk) {
  const clock = new schemas.VirtualClock();
  const lines: Record<string, unknown>[] = [];
  const note = (fields: object) => {
    lines.push(fields as Record<string, unknown>);
  };
  const state = { last: '' };
  const slot = { daemonId: 'v1', voterId: 'id-1' };
  const voter = await consensus.Voter.create({
    daemonId: slot.daemonId,
    genesis: { voterId: slot.voterId, voters: [slot] },
    wal: new consensus.Wal(disk),
    machine: {
      apply: ({ data }) => {
        state.last = data as string;
      },
      getSnapshot: () => state.last,
      restore: (last) => {
        state.last = last as string;
      },
    },
    transport: {} as consensus.Transport,
    clock,
    log: { debug: () => {}, info: note, warn: note, error: note },
    timings: { electionMs: 300, leaseMs: 200 },
    random: () => 0.5,
  });
  void consensus.runElections(voter, new AbortController().signal);
  await clock.advance(2_000);
  return { clock, voter, lines, state };
}

function createCommand(index: number, bytes: number): string {
  return `${index}`.padEnd(bytes, 'x');
}

void tap.default.test(
  'a log of large entries fits the disk and the memory of its host',
  async (t) => {
    // Guards against hosts that fill their own disk or memory because the log is compacted by the number of its entries.
    for (const { bytes, count } of [
      { bytes: 400_000, count: 600 },
      { bytes: 4 * MIB, count: 40 },
    ]) {
      const files = new fakes.MemoryFiles();
      const disk = new limitedDisks.LimitedDisk(files, DISK_BYTES / 2);
      const { voter } = await startAlone(disk);
      let mostBytes = 0;
      for (let i = 0; i < count; i += 1) {
        await voter.leadership!.propose(createCommand(i, bytes));
        mostBytes = Math.max(mostBytes, voter.entries.countBytes());
      }
      t.equal(voter.stopped, false, `${count} entries of ${bytes} bytes are accepted`);
      t.ok(mostBytes <= 16 * MIB, `${mostBytes} bytes in memory`);
      t.ok(disk.peakBytes <= DISK_BYTES / 2, `${disk.peakBytes} bytes on disk`);
      const restarted = await startAlone(new limitedDisks.LimitedDisk(files.reopen(), DISK_BYTES));
      t.equal(restarted.state.last, createCommand(count - 1, bytes), 'the last one is read back');
      voter.stop();
      restarted.voter.stop();
    }
  },
);

void tap.default.test('a file of entries that leaders have replaced is compacted', async (t) => {
  // Guards against a file that outgrows its disk while the log itself stays small.
  const files = new fakes.MemoryFiles();
  const { voter } = await startFollower(new limitedDisks.LimitedDisk(files, DISK_BYTES));
  const data = 'x'.repeat(4 * MIB);
  for (let term = 1; term <= 8; term += 1) {
    const entries = [{ index: 1, term, kind: 'command' as const, data }];
    const commit = term === 8 ? 1 : 0;
    const req = { term, leader: 'v1', prevIndex: 0, prevTerm: 0, entries, commit };
    t.match(await voter.handleAppend(req), { ok: true, match: 1 });
  }
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const bytes = files.getLength('log.wal');
  t.ok(bytes < 8 * MIB, `${bytes} bytes`);
  const recovered = await new consensus.Wal(files.reopen()).recover();
  t.equal(recovered.snapshot?.lastIndex, 1, 'with the entry in the snapshot');
});

void tap.default.test('a voter outlasts a disk without space for a compaction', async (t) => {
  // Guards against a voter that fails, reopens and fails again at each compaction, and acknowledges nothing any more.
  const files = new fakes.MemoryFiles();
  const disk = new limitedDisks.LimitedDisk(files, 8.6 * MIB);
  const { clock, lines, voter } = await startAlone(disk);
  for (let i = 0; i < 8; i += 1) {
    await voter.leadership!.propose(createCommand(i, MIB));
  }
  await clock.advance(100);
  t.ok(
    lines.some(({ step }) => step === 'compact'),
    'a compaction failed',
  );
  t.equal(voter.stopped, false, 'the voter goes on');
  await voter.leadership!.propose(createCommand(9, 1_000));
  disk.capacityBytes = DISK_BYTES;
  await clock.advance(10_000);
  await voter.leadership!.propose(createCommand(10, 1_000));
  await clock.advance(100);
  t.ok(voter.entries.countBytes() <= 3 * MIB, 'the log is compacted once there is space');
  const restarted = await startAlone(new limitedDisks.LimitedDisk(files.reopen(), DISK_BYTES));
  t.equal(restarted.state.last, createCommand(10, 1_000), 'all is read back');
  voter.stop();
  restarted.voter.stop();
});

void tap.default.test('an unfinished replacement of a file takes no space', async (t) => {
  // Guards against a disk that stays full with files that were never completed.
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-files-'));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  fs.writeFileSync(path.join(folder, 'snapshot.new'), 'half of it');
  const files = new consensus.DirectoryStorage(folder);
  await files.open();
  t.same(fs.readdirSync(folder), [], 'what an earlier process left is removed');
  await files.replace('snapshot', Buffer.from('old'));
  fs.mkdirSync(path.join(folder, 'snapshot.new'));
  await t.rejects(
    files.replace('snapshot', Buffer.from('new')),
    /could not be replaced and is unchanged/,
  );
  t.equal((await files.read('snapshot'))?.toString(), 'old', 'the old contents stay');
  await files.close();
});
