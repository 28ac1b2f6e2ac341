import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

// Guards against a burst on an upstream that asks for few calls, by grants that were saved up while nobody called.
void tap.default.test('grants follow the rate, and few of them are saved up', async (t) => {
  const limiter = new requests.RateGrantLimiter();
  t.notOk(limiter.grant('u1', 2, 0).isGranted, 'it starts empty');
  t.equal(limiter.grant('u1', 2, 0).waitMs, 500);
  t.ok(limiter.grant('u1', 2, 500).isGranted);
  const burst = Array.from({ length: 10 }, () => limiter.grant('u1', 2, 30_000).isGranted);
  t.equal(burst.filter(Boolean).length, 2, 'after half a minute');
  limiter.clear();
  t.notOk(limiter.grant('u1', 2, 31_000).isGranted, 'and empty again in the next term');
});

// Guards against probes that take the calls which callers want.
void tap.default.test('what can be left out takes only what is unused', async (t) => {
  const limiter = new requests.RateGrantLimiter();
  limiter.start('u1', 0);
  t.notOk(limiter.grantIdle('u1', 2, 700).isGranted);
  t.ok(limiter.grantIdle('u1', 2, 1_000).isGranted);
  t.ok(limiter.grant('u1', 2, 1_000).isGranted);
});
