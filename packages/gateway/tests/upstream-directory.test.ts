import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as upstreamDirectories from '../src/upstream-directory.js';
import * as listedUpstreams from './support/create-listed-upstream.js';

function createStarted(bornMs: number | undefined, change: Partial<schemas.ListedUpstream> = {}) {
  return listedUpstreams.createListedUpstream('e-1', { bornMs, ...change });
}

function createDirectory() {
  const clock = new schemas.VirtualClock();
  const directory = new upstreamDirectories.UpstreamDirectory(clock, new schemas.SilentLog());
  let stamp = 0;
  const apply = (...upstreams: schemas.ListedUpstream[]) => {
    stamp += 1;
    directory.applyList({ stamp: String(stamp), upstreams }, 0);
  };
  return { clock, directory, apply };
}

void tap.default.test('an upstream that restarts under the same id is a new process', async (t) => {
  // The former process was leaving, had failures and a high load, and another process had its address for a moment. If
  // this state were carried over, the new process would get no work at all.
  const { directory, apply } = createDirectory();
  apply(createStarted(1_000));
  const former = directory.find('e-1')!;
  former.load.trackCall(3_000);
  former.load.recordFailure(0);
  directory.noteGone('e-1');
  apply(createStarted(1_000, { isLeaving: true }));
  t.notOk(directory.isLive('e-1'), 'the same process stays gone and leaving');
  apply(createStarted(2_000));
  t.ok(directory.isLive('e-1'));
  t.ok(directory.hasRestarted(former), 'the state of the former process is lost');
  const { load } = directory.find('e-1')!;
  t.same([load.calls, load.getFailures(0)], [0, 0]);
});

void tap.default.test('an equal or missing start time means the same process', async (t) => {
  const { directory, apply } = createDirectory();
  apply(createStarted(1_000));
  const known = directory.find('e-1')!;
  directory.noteGone('e-1');
  apply(createStarted(undefined, { coldMs: 1 }));
  t.notOk(directory.isLive('e-1'));
  t.notOk(directory.hasRestarted(known));
});

// Guards against calls to an address that can't be connected to, as a leader of the previous version distributes it.
void tap.default.test('a listed upstream without a usable address is left out', async (t) => {
  const { directory, apply } = createDirectory();
  const other = listedUpstreams.createListedUpstream('e-2', {});
  apply(createStarted(1_000, { address: '10.1.1.1:99999' }), other);
  t.equal(directory.find('e-1'), undefined);
  t.same(directory.listUnusable(other.service), ['e-1']);
  t.ok(directory.isLive('e-2'));
  const [from, stamp] = [directory.getStamp(), 'next'];
  directory.applyChanges({ from, stamp, changed: [{ ...other, address: '%:80' }], gone: [] }, 0);
  t.equal(directory.find('e-2'), undefined, 'neither is one whose address has become unusable');
  apply({ ...other, address: '127.0.0.1:08080' }, { ...other, upstreamId: 'e-\n' });
  t.match(directory.findByAddress('127.0.0.1:8080'), { origin: 'http://127.0.0.1:8080' });
  t.equal(directory.countLive(), 1, 'neither is one whose name no header can carry');
});

// Guards against new calls to a process that leaves after this host has read the platform's list by itself, which does
// not show the statement that the leader had distributed.
void tap.default.test('a statement from the leader holds for the process', async (t) => {
  const { directory, apply } = createDirectory();
  apply(createStarted(1_000, { saysLeaving: true, hasStatedLeaving: true }));
  apply(createStarted(1_000));
  t.notOk(directory.isLive('e-1'), 'the platform does not show it');
  apply(createStarted(2_000));
  t.ok(directory.isLive('e-1'), 'another process under the same id');
});

// Guards against engines that get no work for good because of a report that the list did not confirm.
void tap.default.test('an unconfirmed report ends with the list that lacks it', async (t) => {
  const { directory, apply } = createDirectory();
  apply(createStarted(1_000, { saysLeaving: true }));
  t.notOk(directory.isLive('e-1'));
  apply(createStarted(1_000));
  t.ok(directory.isLive('e-1'));
});

// Guards against requests to an engine for longer than it may have left, counted from when this host heard of it.
void tap.default.test('a leaving upstream has left since the list may have shown it', async (t) => {
  const { apply, clock, directory } = createDirectory();
  apply(createStarted(1_000));
  await clock.advance(400);
  directory.confirmCurrent(100);
  await clock.advance(500);
  t.equal(directory.getListedLeavingMs('e-1'), 0, 'it stays');
  apply(createStarted(1_000, { isLeaving: true }));
  t.equal(directory.getListedLeavingMs('e-1'), 600, 'since the former list was last current');
  await clock.advance(300);
  apply(createStarted(1_000, { isLeaving: true, coldMs: 1 }));
  t.equal(directory.getListedLeavingMs('e-1'), 900, 'a later list changes nothing');
  apply(createStarted(2_000));
  t.equal(directory.getListedLeavingMs('e-1'), 0, 'another process under the same id');
  await clock.advance(200);
  apply();
  t.equal(directory.getListedLeavingMs('e-1'), 200, 'gone');
  await clock.advance(300);
  apply(listedUpstreams.createListedUpstream('e-2', {}));
  t.equal(directory.getListedLeavingMs('e-1'), 500, 'since it is gone');
  apply(createStarted(2_000));
  t.equal(directory.getListedLeavingMs('e-1'), 0, 'listed again');
});
