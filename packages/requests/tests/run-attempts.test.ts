import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

interface Target {
  readonly upstreamId: string;
}

/** Retries that never come back, so that a test can count them. */
function createBudget(saved: number): requests.RetryBudget {
  const allowance = { perRequest: 0, maxSaved: saved, perSecond: 0 };
  return new requests.RetryBudget(new schemas.VirtualClock(), allowance);
}

/** A call at upstreams that all end in the same way; gives how often it was sent and what the caller is told. */
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
      noteFailure: () => {},
    });
  } catch (err) {
    const { outcome, status } = (err as schemas.Refusal).options;
    return { sends, outcome, status };
  }
  throw new Error('it was answered');
}

void tap.default.test(
  'a caller is told that its call has not run only when that is certain',
  async (t) => {
    // The first upstream reads the call and is lost, and there is no second one. The refusal for want of an upstream
    // says that the call has not run; passed on, the caller would send a call again that may have run.
    const idempotent = { isRepeatable: true, maxRuns: 2, budget: createBudget(9) };
    const once = { isRepeatable: false, maxRuns: 1, budget: createBudget(9) };
    t.same(await run('lost', 1, idempotent), { sends: 1, outcome: 'unknown', status: 502 });
    t.same(await run('lost', 3, idempotent), { sends: 2, outcome: 'unknown', status: 502 });
    t.same(await run('lost', 3, once), { sends: 1, outcome: 'unknown', status: 502 });
    t.same(await run('refused', 1, once), { sends: 1, outcome: 'not-run', status: 503 });
    t.same(await run('unreachable', 2, once), { sends: 2, outcome: 'not-run', status: 503 });
  },
);

void tap.default.test(
  'retries that reach an upstream draw on the budget, and end with it',
  async (t) => {
    // Every upstream refuses. Without the budget each call would be sent four times, and failures would multiply
    // the load of a service that is down because of its load.
    const budget = createBudget(2);
    const rules = { isRepeatable: true, maxRuns: 4, budget };
    t.equal((await run('refused', 9, rules)).sends, 3, 'the first send and two retries');
    t.equal((await run('refused', 9, rules)).sends, 1, 'no retry is left');
    t.equal((await run('lost', 9, rules)).sends, 1);
    t.equal((await run('unreachable', 9, rules)).sends, 4, 'what reached nobody costs nothing');
  },
);

void tap.default.test(
  'an answer that is an upstream failure is tried again inside the budget',
  async (t) => {
    const budget = createBudget(1);
    const answer = async () => {
      let sends = 0;
      await requests.runAttempts<Target, number>(
        { isRepeatable: true, maxRuns: 3, budget },
        {
          choose: () => ({ upstreamId: `u${sends}` }),
          attempt: async () => {
            sends += 1;
            return Promise.resolve(500);
          },
          isFailure: (status) => status === 500,
          noteFailure: () => {},
        },
      );
      return sends;
    };
    t.equal(await answer(), 2, 'once more, since one retry is saved');
    t.equal(await answer(), 1, 'and then the failure is passed on');
  },
);
