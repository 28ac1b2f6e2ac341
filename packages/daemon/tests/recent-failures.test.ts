import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as recentFailures from '../src/recent-failures.js';

/** Time for which a failure counts, in milliseconds. */
const TTL_MS = 1_500;

function select(failures: recentFailures.RecentFailures, upstreamIds: string[]): string[] {
  const upstreams = upstreamIds.map((upstreamId) => ({ upstreamId }) as schemas.Upstream);
  return failures.select(upstreams).map(({ upstreamId }) => upstreamId);
}

// Guards against calls that are refused since the only upstream could not be reached for a moment.
void tap.default.test('upstreams that failed lately are left out', async (t) => {
  const clock = new schemas.VirtualClock();
  const failures = new recentFailures.RecentFailures(clock, TTL_MS);
  failures.record('u1', 'unreachable');
  t.same(select(failures, ['u1', 'u2']), ['u2'], 'not reached, while there is another one');
  t.same(select(failures, ['u1']), ['u1'], 'but not if it is the only one');
  failures.record('u2', 'withheld');
  t.same(select(failures, ['u2']), ['u2'], 'nothing was sent');
  failures.record('u2', 'refused');
  t.same(select(failures, ['u1', 'u2']), ['u1'], 'one that turned a call away');
  t.same(select(failures, ['u2']), [], 'also if it is the only one');
  await clock.advance(TTL_MS + 1);
  t.same(select(failures, ['u1', 'u2']), ['u1', 'u2'], 'for a time');
});
