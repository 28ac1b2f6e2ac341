import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

const BOUNDS = { most: 20, windowMs: 10_000 };

void tap.default.test('a burst at one host is covered, and no window lends more', async (t) => {
  // An engine is lost with nine streams of one entry host. All of them may go on elsewhere at once, and whatever
  // window of ten seconds is looked at, the deployment's bound holds.
  const pot = new requests.RetryPot(BOUNDS);
  pot.lend(1, 0);
  const burst = Array.from({ length: 9 }, () => pot.lend(1, 10_000));
  t.notOk(burst.includes(false), 'the whole burst');
  const lent: number[] = [];
  for (let now = 20_000; now < 120_000; now += 130) {
    if (pot.lend(1, now)) {
      lent.push(now);
    }
  }
  const most = Math.max(
    ...lent.map((at) => lent.filter((other) => other >= at && other < at + 10_000).length),
  );
  t.equal(most, BOUNDS.most);
});

void tap.default.test('a new lender waits until what the former one lent is out', async (t) => {
  // The leader dies after lending all it may. The next one knows nothing of that; lending at once would give twice
  // the bound in one window.
  const pot = new requests.RetryPot(BOUNDS);
  t.notOk(pot.lend(3, 50_000), 'not at once');
  t.notOk(pot.lend(3, 59_999), 'nor within the window');
  t.ok(pot.lend(3, 60_000), 'but after it');
  t.notOk(pot.lend(4, 60_001), 'and again with the next term');
});
