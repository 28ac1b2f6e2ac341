import * as tap from 'tap';

import * as scheduling from '../src/index.js';

function createUpstreams(count: number, slots: number): scheduling.SlottedUpstream[] {
  return Array.from({ length: count }, (_, i) => ({ upstreamId: `u${i}`, slots }));
}

/** Sums the slots that all hosts own at a time, by upstream. */
function sumOwned(
  upstreams: readonly scheduling.SlottedUpstream[],
  hosts: number,
  timeOfDayMs: number,
): Map<string, number> {
  const sums = new Map<string, number>();
  for (let index = 0; index < hosts; index += 1) {
    scheduling
      .getOwnedSlots(upstreams, { index, hosts }, timeOfDayMs)
      .forEach((slots, id) => sums.set(id, (sums.get(id) ?? 0) + slots));
  }
  return sums;
}

for (const { count, hosts, slots } of [
  { count: 5, slots: 2, hosts: 5 },
  { count: 4, slots: 6, hosts: 7 },
  { count: 4, slots: 6, hosts: 300 },
  { count: 1, slots: 1, hosts: 40 },
]) {
  // Guards against hosts without a leader that send more calls to a brittle upstream than it has slots.
  void tap.default.test(`${hosts} hosts use ${count} upstreams of ${slots}`, async (t) => {
    const upstreams = createUpstreams(count, slots);
    const most = [0, 1_000, 5_000, 123_456_789].flatMap((at) => [
      ...sumOwned(upstreams, hosts, at).values(),
    ]);
    t.ok(most.length > 0, 'slots are used');
    t.ok(
      most.every((sum) => sum === slots),
      'each slot by one host',
    );
  });
}

void tap.default.test('with fewer slots than hosts, every host has its turn', async (t) => {
  const upstreams = createUpstreams(4, 6);
  const hosts = 300;
  const turns = new Set<number>();
  for (let period = 0; period < hosts; period += 1) {
    for (let index = 0; index < hosts; index += 1) {
      const owned = scheduling.getOwnedSlots(upstreams, { index, hosts }, period * 4_000);
      if (owned.size > 0) {
        turns.add(index);
      }
    }
  }
  t.equal(turns.size, hosts);
});

// Guards against calls of the former owner of a slot that run beside those of the next one.
void tap.default.test('slots that change their owner rest before', async (t) => {
  t.equal(sumOwned(createUpstreams(1, 2), 10, 3_500).size, 0);
});

void tap.default.test('upstreams with any number of slots are divided', async (t) => {
  // Guards against a host that enumerates as many slots as an entry of the list names, and does nothing else meanwhile.
  const upstreams = [
    { upstreamId: 'a', slots: 3 },
    { upstreamId: 'b', slots: 3_000_000_000 },
    { upstreamId: 'c', slots: 5 },
  ];
  const hosts = 7;
  const parts = Array.from({ length: hosts }, (_, index) =>
    scheduling.getOwnedSlots(upstreams, { hosts, index }, 0),
  );
  upstreams.forEach(({ slots, upstreamId }) => {
    const owned = parts.map((part) => part.get(upstreamId) ?? 0);
    t.equal(
      owned.reduce((sum, count) => sum + count, 0),
      slots,
      `each slot of ${upstreamId} has one owner`,
    );
  });
});
