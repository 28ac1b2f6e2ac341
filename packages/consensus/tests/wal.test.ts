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

void tap.default.test('a torn last batch is truncated, damage before it is rejected', async (t) => {
  // A crash damages only the last batch, which was not acknowledged; any other damage is a disk fault.
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
      await t.rejects(recovered, /damaged at byte/, `damage ${name} is rejected`);
    } else {
      t.equal((await recovered).entries.length, 2, `damage ${name} loses that batch only`);
    }
  }
});

void tap.default.test(
  'all acknowledged records survive a crash at any file operation',
  async (t) => {
    // The voter is killed at each file operation in turn, and none, half or all of the unsynced bytes survive.
    for (let calls = 1; calls <= 12; calls += 1) {
      for (const share of [0, 0.5, 1]) {
        const files = new fakes.MemoryFiles();
        const wal = new consensus.Wal(files);
        await wal.recover();
        files.crashAfter(calls, share);
        let acknowledged = 0;
        try {
          for (let i = 1; i <= 4; i += 1) {
            await wal.append({ kind: 'vote', term: i, votedFor: 'v1' });
            await wal.append({ kind: 'entries', entries: [createEntry(i)] });
            acknowledged = i;
            if (i === 2) {
              const snapshot = { lastIndex: 1, lastTerm: 1, voters: [], state: ['c1'] };
              const rest = { term: 2, votedFor: 'v1', entries: [createEntry(2)] };
              await wal.compact(snapshot, () => rest);
            }
          }
        } catch {
          // The simulated crash.
        }
        const found = await new consensus.Wal(files.reopen()).recover();
        const last = found.entries.at(-1)?.index ?? found.snapshot?.lastIndex ?? 0;
        t.ok(
          last >= acknowledged,
          `crash at ${calls}, ${share} survive: ${last} of ${acknowledged}`,
        );
        t.ok(found.term >= acknowledged, `the vote of term ${acknowledged} survives`);
      }
    }
  },
);

void tap.default.test(
  'entries that a killed process wrote without syncing are synced on recovery',
  async (t) => {
    // The voter is killed between a write and its sync. The host keeps running, so the next process reads the entry and
    // acknowledges it to the leader. Then the host loses power. Without a sync on recovery the entry would be lost,
    // although it was counted towards a majority.
    const files = new fakes.MemoryFiles();
    const wal = new consensus.Wal(files);
    await wal.append({ kind: 'entries', entries: [createEntry(1)] });
    files.crashAfter(2, 0);
    await t.rejects(wal.append({ kind: 'entries', entries: [createEntry(2)] }));
    const restarted = files.restart();
    const read = await new consensus.Wal(restarted).recover();
    t.equal(read.entries.length, 2, 'the entry is read back');
    const afterPowerLoss = await new consensus.Wal(restarted.reopen()).recover();
    t.equal(afterPowerLoss.entries.length, 2, 'and it survives the power failure');
  },
);
