import * as consensus from '@bramleyridge/consensus';
import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

function createEntry(index: number): consensus.Entry {
  return { index, term: 1, kind: 'command', data: `c${index}` };
}

async function writeThree(files: fakes.MemoryFiles): Promise<number[]> {
  const wal = new consensus.Wal(files);
  const ends: number[] = [];
  for (let i = 1; i <= 3; i += 1) {
    await wal.append({ kind: 'entries', entries: [createEntry(i)] });
    ends.push(files.getLength('log.wal'));
  }
  return ends;
}

void tap.default.test('a torn tail is cut off, damage before the end is refused', async (t) => {
  // A crash tears only the last batch, on which nothing was promised; anything else is a bad disk.
  const cases = [
    { name: 'in the first batch', batch: 0, isRefused: true },
    { name: 'in the second batch', batch: 1, isRefused: true },
    { name: 'in the last batch', batch: 2, isRefused: false },
  ];
  for (const { name, batch, isRefused } of cases) {
    const files = new fakes.MemoryFiles();
    const ends = await writeThree(files);
    files.corrupt('log.wal', ends[batch]! - 2);
    const recovered = new consensus.Wal(files.reopen()).recover();
    if (isRefused) {
      await t.rejects(recovered, /damaged at byte/, `damage ${name} is refused`);
    } else {
      t.equal((await recovered).entries.length, 2, `damage ${name} costs that batch only`);
    }
  }
});

void tap.default.test('at every crash point what was promised is there, in full', async (t) => {
  // The voter is killed at each file operation in turn, with any part of the unsynced bytes surviving.
  for (let calls = 1; calls <= 12; calls += 1) {
    for (const share of [0, 0.5, 1]) {
      const files = new fakes.MemoryFiles();
      const wal = new consensus.Wal(files);
      await wal.recover();
      files.crashAfter(calls, share);
      let promised = 0;
      try {
        for (let i = 1; i <= 4; i += 1) {
          await wal.append({ kind: 'vote', term: i, votedFor: 'v1' });
          await wal.append({ kind: 'entries', entries: [createEntry(i)] });
          promised = i;
          if (i === 2) {
            const snapshot = { lastIndex: 1, lastTerm: 1, voters: [], state: ['c1'] };
            const rest = { term: 2, votedFor: 'v1', entries: [createEntry(2)] };
            await wal.compact(snapshot, () => rest);
          }
        }
      } catch {
        // The crash.
      }
      const found = await new consensus.Wal(files.reopen()).recover();
      const last = found.entries.at(-1)?.index ?? found.snapshot?.lastIndex ?? 0;
      t.ok(last >= promised, `crash at ${calls}, ${share} survive: ${last} of ${promised}`);
      t.ok(found.term >= promised, `the vote of term ${promised} is kept`);
    }
  }
});

void tap.default.test(
  'what a killed process wrote and did not sync is synced before it counts',
  async (t) => {
    // The voter is killed between a write and its sync; the machine goes on, so the next process reads the
    // entry back and tells the leader that it holds it. Then the machine loses power. Without a sync at the
    // restart the entry is gone, although a majority was counted with it.
    const files = new fakes.MemoryFiles();
    const wal = new consensus.Wal(files);
    await wal.append({ kind: 'entries', entries: [createEntry(1)] });
    files.crashAfter(2, 0);
    await t.rejects(wal.append({ kind: 'entries', entries: [createEntry(2)] }));
    const restarted = files.restart();
    const read = await new consensus.Wal(restarted).recover();
    t.equal(read.entries.length, 2, 'the entry is read back');
    const afterPowerLoss = await new consensus.Wal(restarted.reopen()).recover();
    t.equal(afterPowerLoss.entries.length, 2, 'and it survives the loss of power');
  },
);
