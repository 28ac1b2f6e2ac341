import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

interface Target {
  readonly upstreamId: string;
}

/** Creates a budget that is never refilled, so that a test can count retries. */
function createBudget(saved: number): requests.RetryBudget {
  const allowance = { perRequest: 0, maxSaved: saved, perSecond: 0 };
  return new requests.RetryBudget(new schemas.VirtualClock(), allowance);
}

/** Runs a call on upstreams that all fail in the same way; returns how often it was sent, and the reported outcome. */
async function run(
  kind: requests.FailureKind,
  upstreams: number,
  rules: Omit<requests.AttemptRules, 'signal'>,
): Promise<{ sends: number; outcome: string; status: number }> {
  let sends = 0;
  const left = Array.from({ length: upstreams }, (_, i): Target => ({ upstreamId: `u${i}` }));
  try {
    await requests.runAttempts<Target, string>(rules, {
      choose: () => {
        const next = left.shift();
        if (next === undefined) {
          const id = 'noUpstream';
          throw new schemas.Refusal({ id, step: 'choose', status: 503, outcome: 'not-run' });
        }
        return next;
      },
      attempt: async ({ upstreamId }) => {
        sends += 1;
        return Promise.reject(new requests.UpstreamError(kind, 'test', upstreamId));
      },
      isFailure: () => false,
      recordFailure: () => {},
    });
  } catch (err) {
    const { outcome, status } = (err as schemas.Refusal).options;
    return { sends, outcome, status };
  }
  throw new Error('the call got a response');
}

void tap.default.test('the outcome `not-run` is reported only when that is certain', async (t) => {
  // The first upstream reads the call and fails, and there is no second one. The refusal for lack of an upstream
  // states that the call has not run; if it were forwarded, the caller would resend a call that may have run.
  const idempotent = { isRepeatable: () => true, maxRuns: 2, budget: createBudget(9) };
  const once = { isRepeatable: () => false, maxRuns: 1, budget: createBudget(9) };
  t.same(await run('lost', 1, idempotent), { sends: 1, outcome: 'unknown', status: 502 });
  t.same(await run('lost', 3, idempotent), { sends: 2, outcome: 'unknown', status: 502 });
  t.same(await run('lost', 3, once), { sends: 1, outcome: 'unknown', status: 502 });
  t.same(await run('refused', 1, once), { sends: 1, outcome: 'not-run', status: 503 });
  t.same(await run('unreachable', 2, once), { sends: 2, outcome: 'not-run', status: 503 });
});

// Guards against a call that ran on one upstream and is answered as not run, because its next send was refused.
void tap.default.test(
  'a refusal just before the second send does not hide the first run',
  async (t) => {
    const refuse = () => {
      throw new schemas.Refusal({
        id: 'partQuarantined',
        step: 'quarantine',
        status: 503,
        outcome: 'not-run',
      });
    };
    for (const { hasRun, outcome } of [
      { hasRun: true, outcome: 'unknown' },
      { hasRun: false, outcome: 'not-run' },
    ]) {
      let sends = 0;
      const result = requests.runAttempts<Target, string>(
        { isRepeatable: () => true, maxRuns: 2, budget: createBudget(9) },
        {
          choose: () => ({ upstreamId: `u${sends}` }),
          attempt: async ({ upstreamId }) => {
            sends += 1;
            return sends === 1 && hasRun
              ? Promise.reject(new requests.UpstreamError('lost', 'test', upstreamId))
              : Promise.resolve().then(refuse);
          },
          isFailure: () => false,
          recordFailure: () => {},
        },
      );
      await t.rejects(result, { options: { outcome } } as never);
    }
  },
);

void tap.default.test(
  'retries that reach an upstream take from the budget, and end when it is empty',
  async (t) => {
    // Every upstream refuses. Without the budget each call would be sent four times, and failures would multiply
    // the load of a service that is down because of its load.
    const budget = createBudget(2);
    const rules = { isRepeatable: () => true, maxRuns: 4, budget };
    t.equal((await run('refused', 9, rules)).sends, 3, 'the first send and two retries');
    t.equal((await run('refused', 9, rules)).sends, 1, 'the budget is empty');
    t.equal((await run('lost', 9, rules)).sends, 1);
    t.equal(
      (await run('unreachable', 9, rules)).sends,
      4,
      'attempts that reached no upstream are free',
    );
  },
);

void tap.default.test(
  'a response that reports an upstream failure is retried within the budget',
  async (t) => {
    const budget = createBudget(1);
    const answer = async () => {
      let sends = 0;
      await requests.runAttempts<Target, number>(
        { isRepeatable: () => true, maxRuns: 3, budget },
        {
          choose: () => ({ upstreamId: `u${sends}` }),
          attempt: async () => {
            sends += 1;
            return Promise.resolve(500);
          },
          isFailure: (status) => status === 500,
          recordFailure: () => {},
        },
      );
      return sends;
    };
    t.equal(await answer(), 2, 'one retry, from the budget');
    t.equal(await answer(), 1, 'the failure is returned when the budget is empty');
  },
);

// Guards against a call that is refused, or pays a retry, because upstreams had no room just before it was sent.
void tap.default.test('a send that is withheld is neither an attempt nor a retry', async (t) => {
  const budget = createBudget(0);
  const rules = { isRepeatable: () => false, maxRuns: 1, budget };
  const ids = ['u1', 'u2', 'u3', 'u4', 'u5'];
  const failures: string[] = [];
  const answer = await requests.runAttempts<Target, string>(rules, {
    choose: () => ({ upstreamId: ids.shift()! }),
    attempt: async ({ upstreamId }) =>
      upstreamId === 'u5'
        ? Promise.resolve('answer')
        : Promise.reject(new requests.UpstreamError('withheld', 'test', upstreamId)),
    isFailure: () => false,
    recordFailure: ({ upstreamId }) => failures.push(upstreamId),
  });
  t.equal(answer, 'answer');
  t.same(failures, []);
  t.same(await run('withheld', 20, rules), { sends: 8, outcome: 'not-run', status: 503 });
  t.same(await run('withheld', 2, rules), { sends: 2, outcome: 'not-run', status: 503 });
});

// Guards against a repetition that a change of configuration has forbidden while the next upstream was chosen.
void tap.default.test(
  'a call is not repeated if that was taken back during a choice',
  async (t) => {
    let isRepeatable = true;
    let sends = 0;
    const pending = requests.runAttempts<Target, string>(
      { isRepeatable: () => isRepeatable, maxRuns: 2, budget: createBudget(9) },
      {
        choose: async () => {
          isRepeatable = sends === 0;
          return { upstreamId: `u${sends}` };
        },
        attempt: async ({ upstreamId }) => {
          sends += 1;
          return Promise.reject(new requests.UpstreamError('lost', 'test', upstreamId));
        },
        isFailure: () => false,
        recordFailure: () => {},
      },
    );
    await t.rejects(pending);
    t.equal(sends, 1);
  },
);

// Guards against a connection to an upstream for each caller that leaves before its call is sent.
void tap.default.test('a call whose caller has gone is not sent', async (t) => {
  const gone = new Error('gone');
  for (const [when, chosen] of [
    ['before the choice', 0],
    ['during the choice', 1],
  ] as const) {
    const abort = new AbortController();
    const seen = { chosen: 0, discarded: 0, sent: 0 };
    if (chosen === 0) {
      abort.abort(gone);
    }
    const rules = { isRepeatable: () => true, maxRuns: 2, budget: createBudget(9) };
    const result = requests.runAttempts<Target, string>(
      { ...rules, signal: abort.signal },
      {
        choose: () => {
          seen.chosen += 1;
          abort.abort(gone);
          return { upstreamId: 'u' };
        },
        attempt: () => {
          seen.sent += 1;
          return Promise.resolve('answer');
        },
        isFailure: () => false,
        discard: () => {
          seen.discarded += 1;
        },
        recordFailure: () => {},
      },
    );
    await t.rejects(result, gone, when);
    t.same(seen, { chosen, discarded: chosen, sent: 0 }, when);
  }
});
