import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as paths from '../src/index.js';

const HOSTS = [
  { address: 'h1', availabilityZone: 'a' },
  { address: 'h2', availabilityZone: 'a' },
  { address: 'h3', availabilityZone: 'b' },
];

function createPool(random: () => number = () => 0.5): {
  pool: paths.RelayPool;
  clock: schemas.VirtualClock;
} {
  const clock = new schemas.VirtualClock();
  const source = { listHosts: () => HOSTS, listReserves: () => [{ address: 'c1' }] };
  return { clock, pool: new paths.RelayPool({ source, availabilityZone: 'a', clock, random }) };
}

function list(pool: paths.RelayPool, place = paths.ANY_PLACE): string[] {
  return pool.rank(place).map(({ address }) => address);
}

void tap.default.test('hosts come before reserves, and those of the own zone first', async (t) => {
  t.same(list(createPool().pool), ['h1', 'h2', 'h3', 'c1']);
});

// Guards against one relay that gets the connections of all cut hosts.
void tap.default.test('tunnels spread over the relays', async (t) => {
  const { pool } = createPool(Math.random);
  const used = new Map<string, number>();
  for (let i = 0; i < 9; i += 1) {
    const [first] = list(pool);
    pool.recordOpened(first!, { address: 'u1' });
    used.set(first!, (used.get(first!) ?? 0) + 1);
  }
  t.same([...used.values()], [3, 3, 3]);
});

void tap.default.test('a relay that failed is passed over for a while', async (t) => {
  const { clock, pool } = createPool();
  pool.recordFailure('h1');
  t.same(list(pool), ['h2', 'h3', 'c1', 'h1']);
  await clock.advance(1_001);
  t.same(list(pool), ['h1', 'h2', 'h3', 'c1']);
  pool.recordFailure('h1');
  await clock.advance(1_500);
  t.equal(list(pool)[0], 'h2', 'twice as long after the second failure');
});

// Guards against streams that go on through a relay whose own path is silent.
void tap.default.test('a relay through which an answer has stopped is passed over', async (t) => {
  const { pool } = createPool();
  const close = pool.recordOpened('h1', { address: 'u1' });
  pool.recordOpened('h2', { address: 'u2' });
  pool.recordStopped('u1');
  t.same(list(pool), ['h3', 'h2', 'c1', 'h1']);
  close();
  pool.recordStopped('u1');
  t.equal(pool.countOpen(), 1);
});

// Guards against a relay that reads the bytes of a team in a place where they must not be processed.
void tap.default.test('only relays in permitted places are used', async (t) => {
  const place = { key: 'b', allows: (zone: string | undefined) => zone === 'b' };
  t.same(list(createPool().pool, place), ['h3']);
});
