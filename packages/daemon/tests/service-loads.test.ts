import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as serviceLoads from '../src/service-loads.js';

const SERVICE_MS = 200;
const CALLS = 100;
const PAUSE_MS = 20;

function createUpstream(upstreamId: string): schemas.Upstream {
  return {
    upstreamId,
    kind: 'service',
    service: 'booking',
    availabilityZone: 'a',
    url: 'http://127.0.0.1:1',
    state: 'live',
    checksFencing: false,
  };
}

/** Sends calls to services of which the first closes each connection at once; returns how many calls each got. */
async function send(upstreamIds: readonly string[], kind: requests.FailureKind) {
  const clock = new schemas.VirtualClock();
  let drawn = 0;
  const loads = new serviceLoads.ServiceLoads(clock, () => ((drawn += 1) * 0.618) % 1);
  const upstreams = upstreamIds.map(createUpstream);
  const counts = new Map<string, number>();
  for (let i = 0; i < CALLS; i += 1) {
    const { upstreamId } = loads.choose(upstreams)!;
    counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
    const end = loads.track(upstreamId);
    if (upstreamId === upstreamIds[0]) {
      end(new requests.UpstreamError(kind, 'send', upstreamId).hasAnswer());
    } else {
      void clock.sleep(SERVICE_MS).then(() => end(true));
    }
    await clock.advance(PAUSE_MS);
  }
  return { counts, loads, upstreams, clock };
}

// Guards against a service that closes connections at once and gets most calls of a daemon, since it has none at a time.
void tap.default.test('a daemon spares a service that answers none', async (t) => {
  for (const kind of ['lost', 'unreachable'] as const) {
    const { counts } = await send(['b-1', 'b-2', 'b-3'], kind);
    const failed = counts.get('b-1') ?? 0;
    t.ok(failed >= 4 && failed <= 12, `${kind}: ${failed} of ${CALLS} calls`);
  }
  const { counts: all } = await send(['b-1'], 'lost');
  t.equal(all.get('b-1'), CALLS, 'the only one is tried still');
  const { counts: refused } = await send(['b-1', 'b-2', 'b-3'], 'refused');
  t.ok(refused.get('b-1')! > 20, `${refused.get('b-1')} calls to one that answers that it is full`);
});

// Guards against a service that is spared although it answers again.
void tap.default.test('a service that answers again gets calls as before', async (t) => {
  const { clock, loads, upstreams } = await send(['b-1', 'b-2'], 'lost');
  await clock.advance(1_000);
  loads.track('b-1')(true);
  const ends = Array.from({ length: 10 }, () => loads.track(loads.choose(upstreams)!.upstreamId));
  t.ok(loads.count('b-1') >= 4, `${loads.count('b-1')} of ${ends.length}`);
});
