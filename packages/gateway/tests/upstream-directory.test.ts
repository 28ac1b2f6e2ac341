import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as upstreamDirectories from '../src/upstream-directory.js';
import * as listedUpstreams from './support/create-listed-upstream.js';

function createBorn(bornMs: number | undefined, change: Partial<schemas.ListedUpstream> = {}) {
  return listedUpstreams.createListedUpstream('e-1', { bornMs, ...change });
}

function createDirectory() {
  const clock = new schemas.VirtualClock();
  const directory = new upstreamDirectories.UpstreamDirectory(clock, new schemas.SilentLog());
  let stamp = 0;
  const take = (...upstreams: schemas.ListedUpstream[]) => {
    stamp += 1;
    directory.applyList({ stamp: String(stamp), upstreams }, 0);
  };
  return { directory, take };
}

void tap.default.test('an upstream that starts again under its name is a new one', async (t) => {
  // The former process was leaving, failed and had much to do; another process had its address for a moment. Taken for
  // the same, the new one would get no work at all.
  const { directory, take } = createDirectory();
  take(createBorn(1_000));
  const former = directory.find('e-1')!;
  former.load.trackCall(3_000);
  former.load.recordFailure(0);
  directory.noteGone('e-1');
  take(createBorn(1_000, { isLeaving: true }));
  t.notOk(directory.isLive('e-1'), 'the same process stays gone and leaving');
  take(createBorn(2_000));
  t.ok(directory.isLive('e-1'));
  t.ok(directory.hasRestarted(former), 'what the former one held is lost');
  const { load } = directory.find('e-1')!;
  t.same([load.calls, load.getFailures(0)], [0, 0]);
});

void tap.default.test('the same start, or none that is told, is the same process', async (t) => {
  const { directory, take } = createDirectory();
  take(createBorn(1_000));
  const known = directory.find('e-1')!;
  directory.noteGone('e-1');
  take(createBorn(undefined, { coldMs: 1 }));
  t.notOk(directory.isLive('e-1'));
  t.notOk(directory.hasRestarted(known));
});
