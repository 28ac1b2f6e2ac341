import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as tap from 'tap';

import * as procedures from '../src/core-procedures.js';
import * as upstreamListHistories from '../src/upstream-list-history.js';
import * as upstreamDirectories from '../src/upstream-directory.js';
import * as listedUpstreams from './support/create-listed-upstream.js';

function createList(upstreams: schemas.ListedUpstream[]): procedures.UpstreamList {
  return { stamp: schemas.getContentHash(upstreams), upstreams };
}

function createDirectory(): upstreamDirectories.UpstreamDirectory {
  return new upstreamDirectories.UpstreamDirectory(
    new schemas.VirtualClock(),
    new schemas.SilentLog(),
  );
}

function unpack(packedChanges: Uint8Array): procedures.ListChanges {
  return procedures.findListChanges({ isCurrent: true, cores: [], packedChanges })!;
}

/** Applies what the leader sends to a host: the changes, duplicated, or the whole list if it is too far behind. */
function update(
  directory: upstreamDirectories.UpstreamDirectory,
  history: upstreamListHistories.UpstreamListHistory,
  list: procedures.UpstreamList,
): void {
  const packed = history.getPackedChanges(directory.getStamp());
  if (packed === undefined) {
    directory.applyList(list, 0);
    return;
  }
  const changes = unpack(packed);
  directory.applyChanges(changes, 0);
  directory.applyChanges(changes, 0);
}

// Guards against a host whose list differs from the leader's because a change was lost, duplicated or sent out of
// order.
void tap.default.test('a host that applies changes has the list of the leader', async (t) => {
  for (let seed = 1; seed <= 50; seed += 1) {
    const rng = xoroshiro.xoroshiro128plus(seed);
    const draw = (below: number) => (rng.next() >>> 0) % below;
    const history = new upstreamListHistories.UpstreamListHistory();
    const directory = createDirectory();
    let upstreams = Array.from({ length: 20 }, (_, i) =>
      listedUpstreams.createListedUpstream(`e${i}`),
    );
    let list = createList(upstreams);
    history.add(list);
    directory.applyList(list, 0);
    for (let step = 0; step < 40; step += 1) {
      const at = draw(upstreams.length);
      upstreams = upstreams.filter((_, i) => i !== at || draw(3) > 0);
      upstreams = upstreams.map((item, i) =>
        i === draw(20) ? { ...item, isLeaving: true } : item,
      );
      upstreams = [...upstreams, listedUpstreams.createListedUpstream(`n${step}`)];
      list = createList(upstreams);
      history.add(list);
      // A host misses some lists and is sometimes further behind than the history reaches.
      if (draw(4) === 0) {
        update(directory, history, list);
      }
    }
    directory.applyChanges({ from: 'other', stamp: 'wrong', changed: [], gone: ['n1'] }, 0);
    update(directory, history, list);
    const known = upstreams.map(({ upstreamId }) => directory.find(upstreamId)?.listed);
    t.equal(directory.getStamp(), list.stamp, `seed ${seed}`);
    t.same(known, upstreams);
  }
  return Promise.resolve();
});

// Guards against sending a list of 3,000 upstreams to each of hundreds of hosts because one of them has changed.
void tap.default.test('one change among thousands is sent by itself', async (t) => {
  const upstreams = Array.from({ length: 3_000 }, (_, i) =>
    listedUpstreams.createListedUpstream(`e${i}`),
  );
  const history = new upstreamListHistories.UpstreamListHistory();
  const before = createList(upstreams);
  const after = createList(upstreams.map((item, i) => (i === 7 ? { ...item, coldMs: 9 } : item)));
  [before, after].forEach((list) => history.add(list));
  const packed = history.getPackedChanges(before.stamp)!;
  t.ok(packed.length < procedures.packList(after).length / 500, `${packed.length} bytes`);
  t.equal(history.getPackedChanges(before.stamp), packed, 'the same bytes for every host');
  t.equal(
    history.getPackedChanges('unknown'),
    undefined,
    'a host that has another list gets the whole list',
  );
  return Promise.resolve();
});
