import * as tap from 'tap';

import * as followers from './support/follower.js';

const { createAppend, createEntries } = followers;

void tap.default.test(
  'an append whose leader was deposed while the disk stood still',
  async (t) => {
    // Guards against the loss of acknowledged entries, which an older leader's append would truncate.
    const { clock, disk, files, voter } = await followers.startFollower();
    await voter.handleAppend(createAppend(1, { index: 0, term: 0 }, createEntries(1, 1, 10)));
    disk.hold('sync');
    const older = voter.handleAppend(
      createAppend(2, { index: 10, term: 1 }, createEntries(2, 11, 12)),
    );
    await clock.advance(2 * followers.ELECTION_MS);
    const [, , candidate] = followers.VOTERS;
    const vote = voter.handleVote({
      pre: false,
      term: 3,
      candidate: candidate!,
      lastIndex: 10,
      lastTerm: 1,
    });
    const newer = voter.handleAppend(
      createAppend(3, { index: 10, term: 1 }, createEntries(3, 11, 14)),
    );
    await disk.releaseAll();
    t.match(await older, { ok: false }, 'the older append is refused');
    t.match(await newer, { ok: true, match: 14 });
    await vote;
    t.equal(voter.entries.lastIndex, 14);
    const durable = await followers.readDurableTerms(files);
    t.same(
      [11, 12, 13, 14].map((index) => durable.get(index)),
      [3, 3, 3, 3],
      'on the disk',
    );
  },
);

void tap.default.test('a snapshot that arrives while the log is compacted', async (t) => {
  // Guards against a follower that refuses all later entries, since its log ends before its commit index.
  for (const lastIndex of [6, 100]) {
    const { disk, files, state, voter } = await followers.startFollower({ snapshotEvery: 5 });
    disk.hold('replace');
    await voter.handleAppend(createAppend(1, { index: 0, term: 0 }, createEntries(1, 1, 5), 5));
    t.equal(disk.waitingCount, 1, 'the compaction waits for the disk');
    const snapshot = voter.handleSnapshot(followers.createSnapshot(1, lastIndex));
    await disk.releaseAll();
    t.match(await snapshot, { ok: true, match: lastIndex });
    const next = createEntries(1, lastIndex + 1, lastIndex + 3);
    const append = createAppend(1, { index: lastIndex, term: 1 }, next, lastIndex + 3);
    t.match(await voter.handleAppend(append), { ok: true, match: lastIndex + 3 });
    t.equal(state.applied.length, lastIndex + 3, 'all commands are applied');
    const durable = await followers.readDurableTerms(files);
    t.equal(durable.size, lastIndex + 3, 'and on the disk');
  }
});
