import * as tap from 'tap';

import * as deployments from './support/small-deployment.js';

const { sales } = deployments.TOKENS;

/** Rate limit that each service names, in calls per second from all daemons together. */
const CALLS_PER_S = 2.5;

/** Length of the sliding window in which arrivals are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Number of calls that may reach a limited service in a window: one and a half times the limit, and five more. */
const TOLERATED = (CALLS_PER_S * 1.5 * WINDOW_MS) / 1_000 + 5;

/** Time after the first answer from which the limit binds, in milliseconds. */
const GRACE_MS = 3_000;

/** Time for which calls are sent, and the pause between two, in milliseconds. */
const LOAD_MS = 10_000;
const PAUSE_MS = 33;

/** Time for which calls are sent to services that rest or leave, in milliseconds. */
const REST_LOAD_MS = 3_000;

/** Share of a limit that must be used while callers ask for more. */
const MIN_USED_SHARE = 0.6;

async function readSlot(url: string): Promise<{ status: number; retryAfterS: number }> {
  const res = await fetch(`${url}/services/booking/slots/s1`, {
    headers: { authorization: `Bearer ${sales}` },
  });
  await res.text();
  return { status: res.status, retryAfterS: Number(res.headers.get('retry-after') ?? NaN) };
}

/** Sends reads to all daemons in turn and returns their answers. */
async function sendReads(
  deployment: deployments.SmallDeployment,
  daemons: number,
  durationMs: number,
): Promise<Awaited<ReturnType<typeof readSlot>>[]> {
  const startedAt = performance.now();
  const pending: ReturnType<typeof readSlot>[] = [];
  for (let i = 0; performance.now() - startedAt < durationMs; i += 1) {
    pending.push(readSlot(deployment.getUrl(i % daemons)));
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_MS);
    });
  }
  return Promise.all(pending);
}

function countMost(times: readonly number[]): number {
  const counts = times.map(
    (last) => times.filter((at) => at <= last && at > last - WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

// Guards against daemons that each keep the whole rate limit of a service, or none of it.
void tap.default.test('the daemons of a zone together keep the limit of a service', async (t) => {
  const deployment = new deployments.SmallDeployment(['a'], 3);
  await deployment.start(t);
  deployment.services.forEach(({ faults }) => (faults.rateLimit = String(CALLS_PER_S)));
  const answers = await sendReads(deployment, 3, LOAD_MS);
  const endedAt = performance.now();
  deployment.services
    .filter(({ readAt }) => readAt.length > 0)
    .forEach(({ readAt }, index) => {
      const bound = readAt.filter((at) => at >= readAt[0]! + GRACE_MS);
      const most = countMost(bound);
      t.ok(most <= TOLERATED, `service ${index}: ${most} calls in a window, ${TOLERATED} allowed`);
      const allowed = (CALLS_PER_S * (endedAt - readAt[0]! - GRACE_MS)) / 1_000;
      t.ok(bound.length >= allowed * MIN_USED_SHARE, `${bound.length} of ${allowed.toFixed(1)}`);
    });
  const refused = answers.filter(({ status }) => status !== 200);
  t.ok(refused.length > 0, `${refused.length} refused`);
  t.ok(
    refused.every(({ retryAfterS, status }) => status === 503 && retryAfterS > 0),
    'as not run, with a time to return',
  );
});

// Guards against a daemon that goes on sending to services which turned a call away and asked for rest.
void tap.default.test('a daemon keeps the rest for which a service asks', async (t) => {
  const deployment = new deployments.SmallDeployment(['a'], 3);
  await deployment.start(t);
  deployment.services.forEach(({ faults }) => (faults.rest = '30'));
  const answers = await sendReads(deployment, 1, REST_LOAD_MS);
  deployment.services.forEach(({ readAt }, index) => {
    t.ok(readAt.length <= 2, `service ${index}: ${readAt.length} calls`);
  });
  t.same([...new Set(answers.map(({ status }) => status))], [503]);
  const waits = answers.map(({ retryAfterS }) => retryAfterS);
  t.ok(
    waits.every((wait) => wait > 20 && wait <= 31),
    'until the rest ends, from the first refused call on',
  );
});

// Guards against new calls to a service that states in its answers that it leaves, before the list says so.
void tap.default.test('a daemon sends no new calls to a service that leaves', async (t) => {
  const deployment = new deployments.SmallDeployment(['a'], 3);
  await deployment.start(t);
  deployment.services.forEach(({ faults }) => (faults.isLeaving = true));
  const answers = await sendReads(deployment, 1, REST_LOAD_MS);
  deployment.services.forEach(({ readAt }, index) => {
    t.ok(readAt.length <= 3, `service ${index}: ${readAt.length} calls`);
  });
  t.equal(answers[0]?.status, 200);
  t.equal(answers.at(-1)?.status, 503, 'refused as not run, since no other is there');
});
