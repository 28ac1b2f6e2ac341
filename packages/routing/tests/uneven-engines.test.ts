import * as tap from 'tap';

import * as poolPlays from './support/pool-play.js';

/** The load of the second deployment's busy minutes. */
const SLOW_NEIGHBOURS = {
  engines: 30,
  slowShare: 1 / 3,
  slowFactor: 1.3,
  interference: 2.5,
  replaceEveryMs: 400,
  draftsPerS: 15,
  shortsPerS: 17,
  durationMs: 75_000,
};

const SEEDS = [1, 2, 3, 4];

/** Plays a load with several seeds and returns the means. */
function play(options: Omit<poolPlays.PoolPlayOptions, 'seed'>) {
  const results = SEEDS.map((seed) => new poolPlays.PoolPlay({ ...options, seed }).play());
  const average = (get: (result: poolPlays.PoolPlayResult) => number) =>
    results.reduce((sum, result) => sum + get(result), 0) / results.length;
  return {
    lateShare: average(({ lateShare }) => lateShare),
    lateFirstShare: average(({ lateFirstShare }) => lateFirstShare),
    refused: average(({ refused }) => refused),
    slowDraftShare: average(({ slowDraftShare }) => slowDraftShare),
  };
}

function toPercent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

void tap.default.test('a slow neighbour comes and goes', async (t) => {
  // Guards against long generations that are late by a single gap, on an engine that is slow by itself, slowed by
  // co-located work and prefilling another prompt.
  const before = play({ ...SLOW_NEIGHBOURS, isStated: false });
  const after = play({ ...SLOW_NEIGHBOURS, isStated: true });
  t.comment(`late: ${toPercent(before.lateShare)} before, ${toPercent(after.lateShare)} after`);
  t.ok(before.lateShare > 0.15, 'the load is one on which generations are late');
  t.ok(after.lateShare <= before.lateShare / 2, 'at most half as many are late');
  t.ok(after.lateFirstShare <= 0.002, 'first events stay on time');
  t.equal(after.refused, 0, 'and none is refused');
});

void tap.default.test('a slow neighbour comes and goes, and reports are lost', async (t) => {
  // Guards against placement that fails where hosts cannot report the pace of their streams.
  const before = play({ ...SLOW_NEIGHBOURS, isStated: false });
  const after = play({ ...SLOW_NEIGHBOURS, isStated: true, lostShare: 0.8 });
  t.comment(`late: ${toPercent(before.lateShare)} before, ${toPercent(after.lateShare)} after`);
  t.ok(after.lateShare <= before.lateShare / 2, 'a fifth of the reports is enough');
  const none = play({ ...SLOW_NEIGHBOURS, isStated: true, lostShare: 1 });
  t.comment(`late without any report: ${toPercent(none.lateShare)}`);
  t.ok(none.lateShare <= before.lateShare * 1.2, 'without any report it is as before');
  t.equal(none.refused, 0);
});

void tap.default.test('a slow neighbour comes and goes, and the leader changes', async (t) => {
  // Guards against a new leader that places worse than one that never learned anything.
  const before = play({ ...SLOW_NEIGHBOURS, isStated: false, newLeaderAt: 40_000 });
  const after = play({ ...SLOW_NEIGHBOURS, isStated: true, newLeaderAt: 40_000 });
  t.comment(`late: ${toPercent(before.lateShare)} before, ${toPercent(after.lateShare)} after`);
  t.ok(after.lateShare <= before.lateShare * 0.6, 'it learns the factors again');
  t.equal(after.refused, 0);
});

void tap.default.test('upstreams of uneven speed', async (t) => {
  // Guards against penalties for slow engines where no gap is too long: they are used as before.
  const calm = { ...SLOW_NEIGHBOURS, interference: 1 };
  const before = play({ ...calm, isStated: false });
  const after = play({ ...calm, isStated: true });
  t.equal(before.lateShare, 0);
  t.equal(after.lateShare, 0);
  const shares = [before, after].map(({ slowDraftShare }) => toPercent(slowDraftShare));
  t.comment(`on slow engines: ${shares.join(' before, ')} after`);
  t.ok(after.slowDraftShare > 0.2, 'slow engines still get long generations');
  t.ok(after.lateFirstShare <= before.lateFirstShare + 0.002, 'first events stay on time');
  t.equal(after.refused, 0);
});
