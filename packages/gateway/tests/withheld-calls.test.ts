import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as routedAttempts from '../src/routed-attempts.js';

const PICKED = {
  upstreamId: 'u1',
  known: {
    listed: { address: 'u1:1' },
    load: {
      trackCall: () => () => {},
      recordFailure: () => {},
      trial: { recordSend: () => {}, recordEnd: () => {} },
    },
  },
  share: 0,
  waitedMs: 0,
};

/** Makes the attempts of a call at a service with one upstream, whose first sends fail; returns what came of them. */
async function serve(failures: readonly requests.FailureKind[]): Promise<string> {
  const left = [...failures];
  const clock = new schemas.SystemClock();
  const attempts = new routedAttempts.RoutedAttempts({
    gate: { admit: () => Promise.resolve({}), isOpen: () => true },
    guard: { confirm: () => {}, recordOutcome: () => {} },
    picker: { release: () => {} },
    directory: {
      isPlacementAllowed: () => true,
      createPlaceRule: () => undefined,
      getAgeMs: () => 0,
      noteUnreachable: () => {},
    },
    wire: {
      createHeaders: () => ({}),
      createHeadClassifier: () => () => 'answer',
      readAnswer: () => ({}),
    },
    client: {
      open: () => {
        const kind = left.shift();
        return kind === undefined
          ? Promise.reject(
              new schemas.Refusal({
                id: 'ranUnknown',
                step: 'sent',
                status: 502,
                outcome: 'unknown',
              }),
            )
          : Promise.reject(new requests.UpstreamError(kind, 'send', 'u1'));
      },
    },
    availabilityZone: 'a',
    metrics: { count: () => {} },
    clock,
    log: new schemas.SilentLog(),
  } as never);
  const job = {
    call: {
      facts: { requestId: 'c1' },
      service: { name: 's1' },
      route: {
        name: 'r1',
        isStream: false,
        targetMs: 500,
        repeatability: 'idempotent',
        maxRuns: 2,
      },
      method: 'GET',
      path: '/',
      endsAt: clock.now() + 10_000,
    },
    body: Buffer.alloc(0),
    abort: new AbortController(),
    tried: new Set<string>(),
  };
  const choose = () => {
    if (job.tried.has('u1')) {
      throw new schemas.Refusal({
        id: 'noUpstream',
        step: 'pick',
        status: 503,
        outcome: 'not-run',
      });
    }
    return PICKED;
  };
  const rules = {
    isRepeatable: () => true,
    maxRuns: 2,
    budget: { recordRequest: () => {}, take: () => true },
  };
  return requests
    .runAttempts(rules, {
      choose,
      attempt: (picked) => attempts.attempt(job as never, picked as never),
      isFailure: () => false,
      recordFailure: (picked, failure) =>
        attempts.noteFailure(job as never, picked as never, failure),
    })
    .then(
      () => 'answered',
      (err: unknown) => (err instanceof schemas.Refusal ? err.options.step : String(err)),
    );
}

// Guards against a call that is refused since its only upstream is passed over, to which nothing was sent.
void tap.default.test('a call that was withheld is sent to the same upstream', async (t) => {
  t.equal(await serve(['withheld']), 'sent');
  t.equal(await serve(['withheld', 'withheld']), 'sent');
  t.equal(await serve(['unreachable']), 'pick', 'one that failed there is not');
});
