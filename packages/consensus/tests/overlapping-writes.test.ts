import * as tap from 'tap';

import * as followers from './support/follower.js';
import * as heldDisks from './support/held-disk.js';

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

void tap.default.test('a snapshot for which the disk has no space', async (t) => {
  // Guards against a second copy that is acknowledged though the first one was never stored.
  const { disk, files, state, voter } = await followers.startFollower();
  await voter.handleAppend(createAppend(1, { index: 0, term: 0 }, createEntries(1, 1, 5), 5));
  disk.hold('replace');
  disk.freeBytes = 500;
  const copies = [1, 2].map(() =>
    voter.handleSnapshot(followers.createSnapshot(1, 100)).catch(() => ({ ok: false })),
  );
  const next = voter
    .handleAppend(createAppend(1, { index: 100, term: 1 }, createEntries(1, 101, 103)))
    .catch(() => ({ ok: false }));
  await disk.releaseAll();
  const answers = await Promise.all([...copies, next]);
  const durable = await followers.readDurableTerms(files);
  t.equal(durable.size, 5, 'the disk holds what it held before');
  t.same(
    answers.map(({ ok }) => ok),
    [false, false, false],
    'nothing else is acknowledged',
  );
  t.equal(state.applied.length, 5, 'the state is that of the disk');
  t.equal(voter.stopped, false, 'the voter goes on');
  disk.freeBytes = Infinity;
  t.match(await voter.handleSnapshot(followers.createSnapshot(1, 100)), { ok: true, match: 100 });
  t.equal((await followers.readDurableTerms(files)).size, 100);
});

void tap.default.test('a power failure while a snapshot waits for the disk', async (t) => {
  // Guards against the loss of acknowledged entries, when a compaction rewrites the log without them before the snapshot
  // that covers them is stored.
  const { disk, files, voter } = await followers.startFollower({ snapshotEvery: 5 });
  disk.hold('replace');
  await voter.handleAppend(createAppend(1, { index: 0, term: 0 }, createEntries(1, 1, 5), 5));
  disk.hold('sync', 'replace');
  const later = voter.handleAppend(createAppend(1, { index: 5, term: 1 }, createEntries(1, 6, 8)));
  await heldDisks.settle();
  // The compaction's snapshot is stored, and the rewrite of the log waits behind the append.
  await disk.releaseOne();
  const snapshot = voter.handleSnapshot(followers.createSnapshot(1, 100));
  let acknowledged = 5;
  void later.then(({ match }) => {
    acknowledged = match;
  });
  while (disk.waitingCount > 0) {
    await disk.releaseOne();
    const durable = await followers.readDurableTerms(files);
    t.ok(durable.size >= acknowledged, `${durable.size} of ${acknowledged} entries are left`);
  }
  t.match(await later, { ok: true, match: 8 });
  t.match(await snapshot, { ok: true, match: 100 });
});

void tap.default.test('a compaction that waits behind a later snapshot', async (t) => {
  // Guards against the loss of the entries between two snapshots, of which the earlier one is stored last.
  const { disk, files, voter } = await followers.startFollower({ snapshotEvery: 5 });
  await voter.handleAppend(createAppend(1, { index: 0, term: 0 }, createEntries(1, 1, 5)));
  disk.hold('sync', 'replace');
  const commit = voter.handleAppend(createAppend(1, { index: 5, term: 1 }, [], 5));
  const snapshot = voter.handleSnapshot(followers.createSnapshot(1, 100));
  await heldDisks.settle();
  while (disk.waitingCount > 0) {
    await disk.releaseOne();
  }
  t.match(await commit, { ok: true });
  t.match(await snapshot, { ok: true, match: 100 });
  const durable = await followers.readDurableTerms(files);
  t.equal(durable.size, 100, 'the acknowledged entries are on the disk');
});
