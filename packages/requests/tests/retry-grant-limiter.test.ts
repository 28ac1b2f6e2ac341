import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

const BOUNDS = { maxGrants: 20, maxGrantsForNewLeader: 6, windowMs: 10_000 };

void tap.default.test('a burst at one host is covered, and no window lends more', async (t) => {
  // An engine is lost with nine streams of one entry host, for the first time in an hour. All of them may go on elsewhere
  // at once, and whatever window of ten seconds is looked at, the deployment's bound holds.
  const pot = new requests.RetryGrantLimiter(BOUNDS);
  const lender = { term: 1, since: 0 };
  const burst = Array.from({ length: 9 }, () => pot.grant(lender, 3_600_000));
  t.notOk(burst.includes(false), 'the whole burst');
  const lent: number[] = [];
  for (let now = 3_620_000; now < 3_720_000; now += 130) {
    if (pot.grant(lender, now)) {
      lent.push(now);
    }
  }
  const most = Math.max(
    ...lent.map((at) => lent.filter((other) => other >= at && other < at + 10_000).length),
  );
  t.equal(most, BOUNDS.maxGrants);
});

void tap.default.test(
  'a new lender lends little until what the former one lent is out',
  async (t) => {
    // The leader dies after lending all it may. The next one knows nothing of that; lending as much at once would give
    // twice the bound in one window.
    const pot = new requests.RetryGrantLimiter(BOUNDS);
    const lend = (lender: requests.RetryGrantor, now: number) =>
      Array.from({ length: 30 }, () => pot.grant(lender, now)).filter((isLent) => isLent).length;
    t.equal(
      lend({ term: 3, since: 49_000 }, 50_000),
      BOUNDS.maxGrantsForNewLeader,
      'a few at first',
    );
    t.equal(lend({ term: 3, since: 49_000 }, 58_000), 0, 'no more of them in this window');
    t.equal(lend({ term: 3, since: 49_000 }, 60_001), BOUNDS.maxGrants, 'all of them after it');
    t.equal(
      lend({ term: 4, since: 60_002 }, 60_003),
      BOUNDS.maxGrantsForNewLeader,
      'a few with the next',
    );
  },
);
