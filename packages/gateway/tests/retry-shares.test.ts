import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import * as retryShares from '../src/retry-shares.js';

void tap.default.test(
  'a host requests a grant when its own share is used up, and only then',
  async (t) => {
    // An engine fails with nine streams of this host, whose share of the deployment's retries is two. The leader grants
    // the others; a host without a leader has only its own share.
    const bounds = { retryRatio: 0.2, retrySlack: 56, retryWindowMs: 10_000, entryHosts: 8 };
    const metrics = new telemetry.TextMetrics();
    let requestCount = 0;
    let isGranted = true;
    const shares = new retryShares.RetryShares(
      new schemas.VirtualClock(),
      () => bounds,
      async () => {
        requestCount += 1;
        return Promise.resolve(isGranted);
      },
      metrics,
    );
    const take = async () => shares.find('engines').take();
    t.ok(await take());
    t.equal(requestCount, 0, 'its own share first');
    const rest = [];
    for (let i = 0; i < 8; i += 1) {
      rest.push(await take());
    }
    t.notOk(rest.includes(false), 'all nine continue');
    t.ok(requestCount >= 7, `${requestCount} of them granted`);
    isGranted = false;
    t.notOk(await take(), 'none without a grant');
    t.match(await metrics.render(), /retries_total\{service="engines",source="denied"\} 1/);
  },
);

void tap.default.test('planned retries are taken from grants', async (t) => {
  // An engine leaves and eight runs of this host are migrated. If the host's own share were used for that, nothing
  // would be left when its zone is partitioned a moment later: streams with a backup in the zone would end for lack of
  // a retry.
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
  t.ok(await source.takeGranted(), 'its own share is left when nothing is granted');
  t.notOk(await source.takeGranted(), 'as long as it lasts');
  t.notOk(await source.take());
});

// Guards against hundreds of hosts that all start with the share of a small fleet.
void tap.default.test('a host without the number of hosts has one retry', async (t) => {
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
