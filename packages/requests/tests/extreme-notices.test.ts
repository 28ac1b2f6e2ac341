import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const UPSTREAM: requests.GatedUpstream = { upstreamId: 'u1', processId: 'u1@7', service: 'app' };

/** Date of the table's answers, in milliseconds since 1970. */
const NOW_MS = Date.UTC(2030, 0, 1);

/** Times within which a call is sent again: by a grant, without a leader, and after the longest rest. */
const GRANTED_MS = 6_000;
const ALONE_MS = 61_000;
const RESTED_MS = 301_000;

/** Pause between two tries to send, in milliseconds. */
const TRY_MS = 250;

interface Case {
  readonly name: string;
  readonly limit?: string;
  readonly rejections?: string;
  readonly retryAfter?: string;
  readonly withinMs: number;
}

const CASES: readonly Case[] = [
  { name: 'no limit', withinMs: 0 },
  { name: 'a limit of 0', limit: '0', withinMs: GRANTED_MS },
  { name: 'a tiny limit', limit: '0.0001', withinMs: GRANTED_MS },
  { name: 'several limits, one of 0', limit: '0, 5', withinMs: GRANTED_MS },
  { name: 'a huge limit', limit: '9'.repeat(400), withinMs: TRY_MS },
  { name: 'a limit that is no number', limit: 'NaN', withinMs: 0 },
  { name: 'a negative limit', limit: '-1', withinMs: 0 },
  { name: 'a rejection bound of 0', rejections: '0', withinMs: 0 },
  { name: 'a rest of 0 s', retryAfter: '0', withinMs: 0 },
  { name: 'a negative rest', retryAfter: '-1', withinMs: 0 },
  { name: 'a rest of 1e9 s', retryAfter: '1000000000', withinMs: RESTED_MS },
  { name: 'a rest too large for a number', retryAfter: '9'.repeat(400), withinMs: RESTED_MS },
  {
    name: 'a rest until the year 9999',
    retryAfter: 'Fri, 31 Dec 9999 23:59:59 GMT',
    withinMs: RESTED_MS,
  },
];

/** Returns the time after one answer at which a call is sent again. */
async function findNextSendAt(answer: Case, hasLeader: boolean): Promise<number> {
  const clock = new schemas.VirtualClock();
  const service = new requests.RateGrantService();
  const gate = new requests.UpstreamGate({
    grantor: {
      requestGrant: async (limit) => {
        service.merge(limit, clock.now());
        return Promise.resolve(hasLeader ? service.grant(limit.processId, clock.now()) : undefined);
      },
      reportLimit: (limit) => {
        service.merge(limit, clock.now());
      },
    },
    share: new requests.LeaderlessRateShare('h1', () => undefined),
    clock,
    log: new schemas.SilentLog(),
    random: () => 0.5,
    count: () => {},
  });
  gate.recordAnswer(UPSTREAM, {
    ...requests.EMPTY_NOTICE,
    limit: requests.parseNamedLimit(answer.limit),
    maxRejectionsPerS: requests.parseNamedLimit(answer.rejections),
    rest: requests.parseRequestedRest(503, answer.retryAfter, NOW_MS),
  });
  while (clock.now() <= RESTED_MS) {
    const permit = await gate.admit(UPSTREAM).catch(() => undefined);
    if (permit !== undefined) {
      gate.use(permit, UPSTREAM);
      return clock.now();
    }
    await clock.advance(TRY_MS);
  }
  return Infinity;
}

// Guards against one answer with an extreme value that takes a good upstream out of use for good.
void tap.default.test('a call is sent again after any one answer', async (t) => {
  for (const answer of CASES) {
    const granted = await findNextSendAt(answer, true);
    t.ok(granted <= answer.withinMs, `${answer.name}: ${granted} ms`);
    const alone = await findNextSendAt(answer, false);
    const aloneMs = answer.limit === undefined ? answer.withinMs : ALONE_MS;
    t.ok(alone <= aloneMs, `${answer.name}, without a leader: ${alone} ms`);
  }
});
