import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

void tap.default.test('the newest statement about a limit holds', async (t) => {
  const table = new requests.RateLimitTable();
  t.equal(table.record('u1', undefined, 0, 0), 'none');
  t.equal(table.record('u1', 2, 100, 100), 'began');
  t.equal(table.record('u1', 3, 50, 110), 'none', 'an older one is ignored');
  t.equal(table.find('u1', 120), 2);
  t.equal(table.record('u1', 4, 120, 120), 'changed');
  t.equal(table.record('u1', undefined, 130, 130), 'ended');
  t.equal(table.find('u1', 140), undefined);
  t.equal(table.merge({ processId: 'u1', callsPerS: 4, ageMs: 50 }, 140), 'none');
  t.equal(table.merge({ processId: 'u1', callsPerS: 4, ageMs: 5 }, 140), 'began');
});

// Guards against a limit that bars an upstream for good: no call reaches it, so no answer ends the limit.
void tap.default.test('limits are bounded in value and age', async (t) => {
  const table = new requests.RateLimitTable();
  table.record('zero', 0, 0, 0);
  table.record('huge', 1e9, 0, 0);
  t.ok(table.find('zero', 1)! > 0);
  t.ok(table.find('huge', 1)! <= 10_000);
  t.equal(table.count(1), 2);
  t.equal(table.count(61_000), 0, 'forgotten a minute after the last answer');
  t.equal(table.merge({ processId: 'old', callsPerS: 1, ageMs: 70_000 }, 61_000), 'none');
});

void tap.default.test('a bounded number of processes is kept', async (t) => {
  const table = new requests.RateLimitTable();
  Array.from({ length: 2_000 }, (_, i) => table.record(`u${i}`, 1, i, i));
  t.equal(table.count(2_000), 1_000);
  t.equal(table.find('u1999', 2_000), 1, 'the newest');
});
