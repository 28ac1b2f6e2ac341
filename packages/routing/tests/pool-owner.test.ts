import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const SHARE: routing.TeamShare = { weight: 1, maxConcurrent: 100, maxQueued: 5 };

function createOwner(options: Partial<routing.PoolOwnerOptions> = {}) {
  const clock = new schemas.VirtualClock();
  const owner = new routing.PoolOwner({
    clock,
    overflowRisk: 0.05,
    capacityTokens: 4_000,
    getShare: () => SHARE,
    ...options,
  });
  return { clock, owner };
}

function createRequest(
  generation: string,
  change: Partial<routing.GrantRequest> = {},
): routing.GrantRequest {
  return {
    generation,
    daemonId: 'd1',
    team: 't1',
    intent: 'i',
    workClass: 'batch',
    promptTokens: 1_000,
    maxTokens: 500,
    prefix: '',
    waitedMs: 0,
    patienceMs: 60_000,
    excluded: [],
    ...change,
  };
}

function ask(
  owner: routing.PoolOwner,
  generation: string,
  change: Partial<routing.GrantRequest> = {},
): { decision?: routing.GrantDecision } {
  const asked: { decision?: routing.GrantDecision } = {};
  owner.request(createRequest(generation, change), (decision) => {
    asked.decision = decision;
  });
  return asked;
}

void tap.default.test(
  'capacity is granted until memory would overflow, the rest waits',
  async (t) => {
    const { owner } = createOwner();
    owner.setUpstreams([{ upstreamId: 'e1', isLeaving: false }]);
    const asked = ['g1', 'g2', 'g3', 'g4', 'g5'].map((id) => ask(owner, id));
    const granted = asked.filter((item) => item.decision?.upstreamId === 'e1').length;
    t.ok(granted >= 2 && granted <= 3, `${granted} of 1,000 to 1,500 tokens fit into 4,000`);
    owner.finish('g1', 100, true);
    t.equal(asked.filter((item) => item.decision !== undefined).length, granted + 1);
  },
);

void tap.default.test(
  'a leaving upstream gets nothing new, waiting requests go elsewhere',
  async (t) => {
    const { owner } = createOwner();
    owner.setUpstreams([{ upstreamId: 'e1', isLeaving: false }]);
    ask(owner, 'g1');
    owner.markLeaving('e1');
    const waiting = ask(owner, 'g2');
    t.equal(waiting.decision, undefined, 'it waits');
    owner.setUpstreams([
      { upstreamId: 'e1', isLeaving: true },
      { upstreamId: 'e2', isLeaving: false },
    ]);
    t.equal(waiting.decision?.upstreamId, 'e2');
  },
);

void tap.default.test('refusals are immediate and final, with a retry delay', async (t) => {
  const cases = [
    {
      name: 'the queue of the team is full',
      prepare: (owner: routing.PoolOwner) => {
        owner.setUpstreams([]);
        for (let i = 0; i < SHARE.maxQueued; i += 1) {
          ask(owner, `w${i}`);
        }
      },
      change: {},
      reason: 'queue-full',
    },
    {
      name: 'every upstream has refused it',
      prepare: (owner: routing.PoolOwner) => {
        owner.setUpstreams([{ upstreamId: 'e1', isLeaving: false }]);
      },
      change: { excluded: ['e1'] },
      reason: 'excluded',
    },
  ];
  cases.forEach(({ name, prepare, change, reason }) => {
    const { owner } = createOwner();
    prepare(owner);
    const { decision } = ask(owner, 'late', change);
    t.equal(decision?.reason, reason, name);
    t.ok((decision?.retryAfterS ?? 0) >= 1, `${name}: retry delay`);
  });
});

void tap.default.test(
  'a request that waited too long is refused, and withdrawn ones are removed',
  async (t) => {
    const { clock, owner } = createOwner();
    const patient = ask(owner, 'g1', { patienceMs: 5_000 });
    const gone = ask(owner, 'g2');
    owner.withdraw('g2');
    await clock.advance(5_100);
    owner.tick();
    t.equal(patient.decision?.reason, 'patience');
    t.equal(gone.decision, undefined);
    t.equal(owner.getSummary().waiting, 0);
  },
);

void tap.default.test(
  'interactive work precedes batch work, aged batch work precedes other batch work',
  async (t) => {
    const { clock, owner } = createOwner();
    const old = ask(owner, 'old', { team: 'busy' });
    await clock.advance(30_000);
    const young = ask(owner, 'young', { team: 'idle' });
    const interactive = ask(owner, 'interactive-1', {
      workClass: 'interactive',
      promptTokens: 100,
      maxTokens: 20,
    });
    owner.setUpstreams([{ upstreamId: 'e1', isLeaving: false }]);
    t.ok(interactive.decision !== undefined && old.decision !== undefined);
    const order = [interactive, old, young].filter(
      (item) => item.decision?.upstreamId !== undefined,
    );
    t.ok(order.length >= 2, 'the interactive and the aged batch request fit');
  },
);

void tap.default.test('teams share by weight while all of them wait', async (t) => {
  const weights: Record<string, number> = { heavy: 3, light: 1 };
  const { owner } = createOwner({
    getShare: (team) => ({ weight: weights[team] ?? 1, maxConcurrent: 1_000, maxQueued: 1_000 }),
  });
  owner.setUpstreams([{ upstreamId: 'e1', isLeaving: false }]);
  const running: string[] = [];
  const served: Record<string, number> = { heavy: 0, light: 0 };
  let count = 0;
  const keepWaiting = (team: string) => {
    count += 1;
    const generation = `${team}-${count}`;
    owner.request(createRequest(generation, { team }), () => {
      running.push(generation);
      served[team]! += 1;
    });
  };
  for (let i = 0; i < 400; i += 1) {
    keepWaiting('heavy');
    keepWaiting('light');
    const done = running.shift();
    if (done !== undefined) {
      owner.finish(done, 100, true);
    }
  }
  const ratio = served.heavy! / served.light!;
  t.ok(ratio > 2.7 && ratio < 3.3, `heavy got ${ratio.toFixed(2)} times what light got`);
});

void tap.default.test(
  'a daemon without reports is dropped, a new owner registers the others',
  async (t) => {
    // The daemon crashed with its streams. Its generations must not use capacity forever.
    const { clock, owner } = createOwner();
    owner.setUpstreams([{ upstreamId: 'e1', isLeaving: false }]);
    owner.register({
      generation: 'lost',
      daemonId: 'dead',
      upstreamId: 'e1',
      team: 't1',
      intent: 'i',
      workClass: 'batch',
      promptTokens: 3_000,
      maxTokens: 1_000,
      tokens: 500,
    });
    const waiting = ask(owner, 'g1');
    t.equal(waiting.decision, undefined, 'the registered generation uses the capacity');
    await clock.advance(11_000);
    owner.tick();
    t.equal(waiting.decision?.upstreamId, 'e1');
  },
);

void tap.default.test('load in a report beyond the ledger uses capacity', async (t) => {
  const { owner } = createOwner({ capacityTokens: Infinity });
  owner.setUpstreams([{ upstreamId: 'e1', isLeaving: false }]);
  const report: schemas.LoadReport = {
    at: 1,
    ageMs: 0,
    tokensTotal: 4_000,
    tokensUsed: 3_900,
    running: 3,
    waiting: 0,
    preemptions: 0,
    state: 'live',
    models: [],
  };
  ask(owner, 'g0', { promptTokens: 10, maxTokens: 20 });
  owner.applyReport('e1', report);
  t.equal(ask(owner, 'g1').decision, undefined);
  owner.applyReport('e1', { ...report, at: 2, tokensUsed: 100 });
  owner.applyReport('e1', report);
  owner.tick();
  t.equal(owner.getSummary().waiting, 0);
  const late = ask(owner, 'g2', { promptTokens: 100, maxTokens: 50 });
  t.equal(late.decision?.upstreamId, 'e1', 'an outdated report does not count');
});

void tap.default.test(
  'a generation whose end was not reported does not use capacity forever',
  async (t) => {
    // The message about the end was lost; the daemon still reports and no longer lists the
    // generation.
    const { clock, owner } = createOwner();
    owner.setUpstreams([{ upstreamId: 'e1', isLeaving: false }]);
    ask(owner, 'g1', { promptTokens: 3_000 });
    const waiting = ask(owner, 'g2', { promptTokens: 3_000 });
    for (let i = 0; i < 4; i += 1) {
      await clock.advance(2_000);
      owner.applyProgress({ daemonId: 'd1', tokens: [] });
    }
    t.equal(waiting.decision?.upstreamId, 'e1');
  },
);

/** Asks for 200 generations of two daemons in turn; `closedTo` get no answer from `e1`. Returns the grants there. */
async function askInTurn(closedTo: readonly string[], countDaemons: () => number) {
  const { clock, owner } = createOwner({
    countDaemons,
    getShare: () => ({ weight: 1, maxConcurrent: 1_000, maxQueued: 1_000 }),
  });
  owner.setUpstreams([
    { upstreamId: 'e1', isLeaving: false },
    { upstreamId: 'e2', isLeaving: false },
  ]);
  const counts = { unanswered: 0, answered: 0 };
  for (let i = 0; i < 200; i += 1) {
    const generation = `g${i}`;
    const daemonId = `d${i % 2}`;
    const facts = createRequest(generation, { daemonId, promptTokens: 10, excluded: ['e2'] });
    owner.request(facts, ({ upstreamId }) => {
      if (upstreamId === undefined) {
        return;
      }
      const isAnswered = !closedTo.includes(daemonId);
      counts[isAnswered ? 'answered' : 'unanswered'] += 1;
      void clock.sleep(isAnswered ? 50 : 2).then(() => {
        if (!isAnswered) {
          owner.recordUnanswered('e1', daemonId);
        }
        owner.finish(generation, isAnswered ? 5 : 0, isAnswered);
      });
    });
    await clock.advance(10);
    owner.tick();
  }
  return counts;
}

// Guards against an engine that closes each connection at once and gets all generations while others are full.
void tap.default.test('an engine that answers none gets one generation at a time', async (t) => {
  for (const [closedTo, daemons] of [
    [['d0', 'd1'], 2],
    [['d0', 'd1'], 1],
  ] as const) {
    const { unanswered } = await askInTurn(closedTo, () => daemons);
    t.ok(unanswered >= 4 && unanswered <= 16, `${unanswered} of 200, ${daemons} daemons`);
  }
  const { answered: all } = await askInTurn([], () => 2);
  t.equal(all, 200, 'a sound one gets all');
});
