import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import * as retryShares from '../src/retry-shares.js';

void tap.default.test('a host borrows when its own share is used up, and only then', async (t) => {
  // An engine is lost with nine streams of this host, whose share of the deployment's retries is two. The leader lends
  // the others; a host that hears no leader has only its own.
  const bounds = { retryRatio: 0.2, retrySlack: 56, retryWindowMs: 10_000, entryHosts: 8 };
  const metrics = new telemetry.TextMetrics();
  let asked = 0;
  let isLent = true;
  const shares = new retryShares.RetryShares(
    new schemas.VirtualClock(),
    () => bounds,
    async () => {
      asked += 1;
      return Promise.resolve(isLent);
    },
    metrics,
  );
  const take = async () => shares.find('engines').take();
  t.ok(await take());
  t.equal(asked, 0, 'its own first');
  const rest = [];
  for (let i = 0; i < 8; i += 1) {
    rest.push(await take());
  }
  t.notOk(rest.includes(false), 'all nine go on');
  t.ok(asked >= 7, `${asked} of them lent`);
  isLent = false;
  t.notOk(await take(), 'none without a lender');
  t.match(await metrics.render(), /retries_total\{service="engines",source="denied"\} 1/);
});

void tap.default.test('what can be planned is paid from what is lent', async (t) => {
  // An engine leaves and eight of this host's runs are handed over. Paid from the host's own share, nothing is left of
  // that when its zone is cut off a moment later: streams that have a copy in the zone then ended for want of a retry.
  const bounds = { retryRatio: 0.2, retrySlack: 56, retryWindowMs: 10_000, entryHosts: 8 };
  let isReached = true;
  const shares = new retryShares.RetryShares(
    new schemas.VirtualClock(),
    () => bounds,
    async () => Promise.resolve(isReached),
    new telemetry.TextMetrics(),
  );
  const source = shares.find('engines');
  for (let i = 0; i < 8; i += 1) {
    t.ok(await source.takeGranted());
  }
  isReached = false;
  t.ok(await source.takeGranted(), 'its own share is still there, where nobody lends');
  t.notOk(await source.takeGranted(), 'as long as it lasts');
  t.notOk(await source.take());
});

// Guards against hundreds of hosts that all start with the share of a small fleet.
void tap.default.test('a host that was not told how many share has one retry', async (t) => {
  const bounds = { retryRatio: 0.2, retrySlack: 428, retryWindowMs: 10_000, entryHosts: undefined };
  const shares = new retryShares.RetryShares(
    new schemas.VirtualClock(),
    () => bounds,
    async () => Promise.resolve(false),
    new telemetry.TextMetrics(),
  );
  const source = shares.find('engines');
  t.ok(await source.take());
  t.notOk(await source.take());
});
