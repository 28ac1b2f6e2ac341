import * as tap from 'tap';

import * as callSimulations from './support/call-simulation.js';
import type * as upstreamModels from './support/upstream-model.js';

/** Time at which an upstream begins to close connections, and how long it does, in milliseconds. */
const CLOSES_AT_MS = 4_000;
const CLOSED_MS = 2_000;

/** End of the calls, and of the time in which an upstream that answers again must have got its share, in milliseconds. */
const END_MS = 8_000;

const SEEDS = [1, 2, 3, 4];
const HOSTS = 5;

/** All slots are busy at 200 calls a second, and many calls wait at twice as many. */
const RATES = [120, 400];

const LIMITS = { targetMs: 500, timeoutMs: 2_000 };

function isClosed(now: number): boolean {
  return now >= CLOSES_AT_MS && now < CLOSES_AT_MS + CLOSED_MS;
}

function simulate(
  seed: number,
  callsPerS: number,
  count: number,
  isClosing: upstreamModels.UpstreamModelOptions['isClosing'],
  loneHosts?: number,
) {
  const upstreams = Array.from({ length: count }, (_, i) => ({
    upstreamId: `u${i + 1}`,
    availabilityZone: 'a',
    declaredSlots: 2,
    concurrency: 2,
    queueLimit: 10,
    serviceMs: 50,
    statesLoad: false,
    isClosing: i === 0 ? isClosing : undefined,
  }));
  const simulation = new callSimulations.CallSimulation({
    seed,
    upstreams,
    loneHosts,
    hosts: HOSTS,
  });
  simulation.run([{ team: 'a', callsPerS, ...LIMITS }], END_MS);
  const countSends = (
    from: number,
    until: number,
    matches: (item: callSimulations.CallOutcome) => boolean = () => true,
  ) =>
    simulation.outcomes.filter((item) => {
      const endedAt = item.arrivedAt + item.tookMs;
      return item.upstreamId === 'u1' && endedAt >= from && endedAt < until && matches(item);
    }).length;
  return { countSends };
}

// Guards against an upstream that closes each connection at once and gets the more calls, since it is always free.
for (const loneHosts of [undefined, HOSTS]) {
  const name = loneHosts === undefined ? 'a leader' : 'hosts alone';
  void tap.default.test(`calls to an upstream that answers none: ${name}`, async (t) => {
    SEEDS.forEach((seed) => {
      RATES.forEach((callsPerS) => {
        const { countSends } = simulate(seed, callsPerS, 5, isClosed, loneHosts);
        const [early, all] = [400, CLOSED_MS].map((ms) =>
          countSends(CLOSES_AT_MS, CLOSES_AT_MS + ms, ({ result }) => result === 'unanswered'),
        );
        const first = loneHosts === undefined ? 10 : 25;
        const most = loneHosts === undefined ? 16 : 50;
        t.ok(early! <= first, `seed ${seed}, ${callsPerS}: ${early} in 400 ms`);
        t.ok(all! <= most, `seed ${seed}, ${callsPerS}: ${all} in ${CLOSED_MS} ms`);
        const opensAt = CLOSES_AT_MS + CLOSED_MS + 500;
        const before = countSends(CLOSES_AT_MS - 1_000, CLOSES_AT_MS);
        const after = countSends(opensAt, opensAt + 1_000);
        // With free slots elsewhere, its failures are avoided for some seconds more.
        const due = callsPerS === 400 ? before * 0.6 : 0;
        t.ok(after >= due, `seed ${seed}, ${callsPerS}: ${after} after, ${before} before`);
      });
    });
  });
}

// Guards against hosts that are cut off from an upstream and take it from all other hosts.
for (const { cut, minShare } of [
  { cut: ['h0'], minShare: 0.8 },
  { cut: ['h0', 'h1'], minShare: 0.6 },
]) {
  void tap.default.test(`${cut.length} of five hosts reach an upstream no more`, async (t) => {
    SEEDS.forEach((seed) => {
      const isCut = (now: number, hostId: string) => isClosed(now) && cut.includes(hostId);
      const { countSends } = simulate(seed, 400, 5, isCut);
      const isOther = ({ hostId }: callSimulations.CallOutcome) => !cut.includes(hostId);
      const before = countSends(CLOSES_AT_MS - 2_000, CLOSES_AT_MS);
      const others = countSends(CLOSES_AT_MS, CLOSES_AT_MS + CLOSED_MS, isOther);
      const own = countSends(CLOSES_AT_MS, CLOSES_AT_MS + CLOSED_MS) - others;
      t.ok(others >= before * minShare, `seed ${seed}: ${others} of others, ${before} before`);
      t.ok(own <= 16 * cut.length, `seed ${seed}: ${own} of those cut off`);
    });
  });
}

// Guards against the last upstream of a service that is not tried any more.
void tap.default.test('the only upstream is tried while it answers none', async (t) => {
  SEEDS.forEach((seed) => {
    const { countSends } = simulate(seed, 40, 1, isClosed);
    const tried = countSends(CLOSES_AT_MS, CLOSES_AT_MS + CLOSED_MS);
    t.ok(tried >= 4 && tried <= 30, `seed ${seed}: ${tried} are sent`);
    const opensAt = CLOSES_AT_MS + CLOSED_MS + 500;
    const after = countSends(opensAt, opensAt + 1_000, ({ result }) => result === 'served');
    t.ok(after >= 20, `seed ${seed}: ${after} are served`);
  });
});
