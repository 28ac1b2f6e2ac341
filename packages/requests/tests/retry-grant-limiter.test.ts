import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

const LIMITS = { maxGrants: 20, maxGrantsForNewLeader: 6, windowMs: 10_000 };

void tap.default.test(
  'a burst at one host is granted, and no window exceeds the limit',
  async (t) => {
    // An engine fails with nine streams of one entry host, after an hour without retries. All of them may continue on
    // other engines at once, and the deployment's limit holds for every window of ten seconds.
    const limiter = new requests.RetryGrantLimiter(LIMITS);
    const grantor = { term: 1, since: 0 };
    const burst = Array.from({ length: 9 }, () => limiter.grant(grantor, 3_600_000));
    t.notOk(burst.includes(false), 'the whole burst');
    const grantedAt: number[] = [];
    for (let now = 3_620_000; now < 3_720_000; now += 130) {
      if (limiter.grant(grantor, now)) {
        grantedAt.push(now);
      }
    }
    const maxInWindow = Math.max(
      ...grantedAt.map(
        (at) => grantedAt.filter((other) => other >= at && other < at + 10_000).length,
      ),
    );
    t.equal(maxInWindow, LIMITS.maxGrants);
  },
);

void tap.default.test(
  'a new leader grants few retries until those of its predecessor are outside the window',
  async (t) => {
    // The leader fails after granting the maximum. Its successor has no record of that; granting as many at once would
    // allow twice the limit in one window.
    const limiter = new requests.RetryGrantLimiter(LIMITS);
    const countGrants = (grantor: requests.RetryGrantor, now: number) =>
      Array.from({ length: 30 }, () => limiter.grant(grantor, now)).filter((isGranted) => isGranted)
        .length;
    t.equal(
      countGrants({ term: 3, since: 49_000 }, 50_000),
      LIMITS.maxGrantsForNewLeader,
      'a few at first',
    );
    t.equal(countGrants({ term: 3, since: 49_000 }, 58_000), 0, 'none beyond them in this window');
    t.equal(
      countGrants({ term: 3, since: 49_000 }, 60_001),
      LIMITS.maxGrants,
      'the maximum after it',
    );
    t.equal(
      countGrants({ term: 4, since: 60_002 }, 60_003),
      LIMITS.maxGrantsForNewLeader,
      'a few after the next change of leader',
    );
  },
);
