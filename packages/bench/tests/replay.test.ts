import * as url from 'node:url';

import * as tap from 'tap';

import * as replays from '../src/policy/replay.js';
import * as traces from '../src/policy/trace.js';

const OWNER: replays.ReplayPolicy = { name: 'pool-owner', overflowRisk: 0.05, sendsClass: true };
const BALANCER: replays.ReplayPolicy = {
  name: 'least-memory',
  baseline: 'least-memory',
  sendsClass: false,
};

/** Recorded traces, each with a rate that overloads four engines. */
const RECORDED = [
  { user: 'kalahari', rate: 22 },
  { user: 'exit-survey', rate: 9 },
] as const;

function replay(
  user: string,
  rate: number,
  policy: replays.ReplayPolicy,
  fault: replays.ReplayFault = 'none',
) {
  const file = url.fileURLToPath(new URL(`../../traces/${user}.jsonl`, import.meta.url));
  const trace = traces.readTrace(file);
  const mix = traces.MIXES.find((item) => item.user === user)!;
  const durationS = Math.floor(trace.at(-1)!.arrival / rate);
  const options = { mix, trace, rate, engines: 4, durationS, warmupS: 10, seed: 1, fault };
  return new replays.Replay(options, policy).run();
}

void tap.default.test('replays of recorded traces meet the policy targets', async (t) => {
  // On overloaded engines the pool owner preempts at most a third as often as a balancer by reported memory and at
  // most halves the p99 of short requests, every request completes, and a rerun gives the same figures.
  RECORDED.forEach(({ user, rate }) => {
    const owner = replay(user, rate, OWNER);
    const balancer = replay(user, rate, BALANCER);
    t.equal(owner.completed, balancer.completed, `${user}: every request completes`);
    t.equal(owner.refused + owner.broken, 0, `${user}: nothing is refused or broken`);
    t.ok(
      balancer.preemptionsPer1000 > 10,
      `${user}: the balancer preempts ${balancer.preemptionsPer1000}`,
    );
    t.ok(
      owner.preemptionsPer1000 <= balancer.preemptionsPer1000 / 3,
      `${user}: the owner preempts ${owner.preemptionsPer1000}`,
    );
    t.ok(
      owner.shortP99Ms <= balancer.shortP99Ms / 2,
      `${user}: short requests overtake long generations`,
    );
    t.same(replay(user, rate, OWNER), owner, `${user}: a rerun gives the same figures`);
  });
});

void tap.default.test('every request ends despite faults in a replay', async (t) => {
  const cases = ['engine-dies', 'owner-dies', 'late-reports', 'cache-gaps', 'mix-shifts'] as const;
  const faultless = replay('kalahari', 22, OWNER);
  cases.forEach((fault) => {
    const measured = replay('kalahari', 22, OWNER, fault);
    const answered = measured.completed + measured.broken;
    t.equal(
      answered,
      faultless.completed,
      `${fault}: every request completes or is reported as broken`,
    );
    t.ok(fault === 'engine-dies' || measured.broken === 0, `${fault}: broken ${measured.broken}`);
  });
});
