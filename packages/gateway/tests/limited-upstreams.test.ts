import type * as http from 'node:http';

import * as tap from 'tap';

import * as sites from './support/small-site.js';

/** Rate limit that an upstream names, in calls per second from all hosts together. */
const CALLS_PER_S = 2.5;

/** Length of the sliding window in which arrivals are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Multiple of the limit that may arrive in a window, and calls beyond that. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_BURST = 5;

/** Time after the limit was first named from which it binds, in milliseconds. */
const GRACE_MS = 3_000;

/** Time after which an answer counts as known to its host, in milliseconds. */
const KNOWN_AFTER_MS = 500;

/** Share of a limit that must be used while callers ask for more. */
const MIN_USED_SHARE = 0.6;

/** Pause between two calls, in milliseconds; 30 calls per second, over all entry hosts. */
const PAUSE_MS = 33;

/** Number of entry hosts. */
const ENTRY_HOSTS = 3;

/** Time for which calls are sent, in milliseconds. */
const LOAD_MS = 12_000;

/** Time of a power failure of all core hosts, or of another change, in milliseconds. */
const CHANGE_MS = 3_000;

interface Arrival {
  readonly at: number;
  readonly hostId: string;
}

/** Upstreams that name a rate limit in their answers, and what reaches each of them. */
class LimitedUpstreams {
  /** The limit that each upstream names; absent while it names none. */
  public readonly limits = new Map<string, string>();
  public readonly arrivals = new Map<string, Arrival[]>();
  private readonly firstNamedAt = new Map<string, number>();
  private readonly toldAt = new Map<string, number>();

  public answer(upstreamId: string, req: http.IncomingMessage, res: http.ServerResponse): void {
    const now = performance.now();
    // The path names the entry host, since upstreams can't tell hosts on one address apart.
    const hostId = (req.url ?? '').split('/')[2] ?? '';
    this.arrivals.set(upstreamId, [...(this.arrivals.get(upstreamId) ?? []), { at: now, hostId }]);
    const limit = this.limits.get(upstreamId);
    if (limit !== undefined) {
      res.setHeader('calls-per-s', limit);
      this.firstNamedAt.set(upstreamId, this.firstNamedAt.get(upstreamId) ?? now);
      const key = `${upstreamId}/${hostId}`;
      this.toldAt.set(key, this.toldAt.get(key) ?? now);
    }
    res.setHeader('call-id', req.headers['call-id'] ?? '');
    res.end('ok');
  }

  /** Returns the largest number of calls in a window that reached a limited upstream from hosts that knew its limit. */
  public countMost(upstreamId: string): number {
    const bindsAt = (this.firstNamedAt.get(upstreamId) ?? Infinity) + GRACE_MS;
    const counted = (this.arrivals.get(upstreamId) ?? []).filter(
      ({ at, hostId }) =>
        at >= bindsAt &&
        at >= (this.toldAt.get(`${upstreamId}/${hostId}`) ?? Infinity) + KNOWN_AFTER_MS,
    );
    const counts = counted.map(
      (last) =>
        counted.filter((other) => other.at <= last.at && other.at > last.at - WINDOW_MS).length,
    );
    return Math.max(0, ...counts);
  }

  /** Counts all calls that reached an upstream since a time. */
  public countSince(upstreamId: string, since: number): number {
    return (this.arrivals.get(upstreamId) ?? []).filter(({ at }) => at >= since).length;
  }
}

interface Result {
  readonly at: number;
  readonly status: number;
  readonly tookMs: number;
  readonly retryAfterS: number;
}

interface LimitedSite {
  readonly site: sites.SmallSite;
  readonly upstreams: LimitedUpstreams;
  readonly ids: readonly string[];
}

async function createLimitedSite(t: tap.Test, upstreamCount: number): Promise<LimitedSite> {
  const site = new sites.SmallSite(t);
  const upstreams = new LimitedUpstreams();
  const ids = Array.from({ length: upstreamCount }, (_, i) => `u${i + 1}`);
  for (const id of ids) {
    await site.addUpstream(id, 'app', (req, res) => upstreams.answer(id, req, res));
  }
  await site.start(3);
  for (let i = 1; i < ENTRY_HOSTS; i += 1) {
    await site.addEntry();
  }
  await site.declare({});
  await site.until('ready', () =>
    [site.entry, ...site.others.map(({ host }) => host)].every((host) => host.isReady()),
  );
  return { site, upstreams, ids };
}

/** Sends calls to all entry hosts in turn, on both kinds of route, and returns their results. */
async function sendCalls(
  site: sites.SmallSite,
  durationMs: number,
  onTime: (ms: number) => void = () => {},
): Promise<Result[]> {
  const startedAt = performance.now();
  const pending: Promise<Result>[] = [];
  for (let i = 0; performance.now() - startedAt < durationMs; i += 1) {
    onTime(performance.now() - startedAt);
    const hosts = [{ port: site.entryPort }, ...site.others];
    const index = i % hosts.length;
    const route = i % 2 === 0 ? 'plain' : 'once';
    const at = performance.now();
    pending.push(
      site
        .call(`/${route}/host-${index}/${i}`, { 'call-id': `c${i}` }, '', hosts[index]!.port)
        .then(({ headers, status }) => ({
          at,
          status,
          tookMs: performance.now() - at,
          retryAfterS: Number(headers['retry-after'] ?? NaN),
        })),
    );
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_MS);
    });
  }
  return Promise.all(pending);
}

const TOLERATED = (CALLS_PER_S * TOLERATED_FACTOR * WINDOW_MS) / 1_000 + TOLERATED_BURST;

function checkLimits(t: tap.Test, { ids, upstreams }: LimitedSite): void {
  ids
    .filter((id) => upstreams.limits.has(id))
    .forEach((id) => {
      const most = upstreams.countMost(id);
      t.ok(most <= TOLERATED, `${id}: ${most} calls in a window, ${TOLERATED} allowed`);
    });
}

function checkUse(t: tap.Test, { ids, upstreams }: LimitedSite, since: number, endedAt: number) {
  ids
    .filter((id) => upstreams.limits.has(id))
    .forEach((id) => {
      const used = upstreams.countSince(id, since);
      const allowed = (CALLS_PER_S * (endedAt - since)) / 1_000;
      t.ok(used >= allowed * MIN_USED_SHARE, `${id}: ${used} calls, limit ${allowed.toFixed(1)}`);
    });
}

/** Checks that calls without room are refused as not run, at once and with a time to return. */
function checkRefusals(t: tap.Test, results: readonly Result[]): void {
  const refused = results.filter(({ status }) => status !== 200);
  t.same([...new Set(refused.map(({ status }) => status))], [503], 'refused as not run');
  t.ok(
    refused.every(({ retryAfterS }) => retryAfterS > 0 && retryAfterS <= 5),
    'with a time to return',
  );
  const waits = new Set(refused.map(({ retryAfterS }) => retryAfterS));
  t.ok(waits.size > refused.length / 4, `${waits.size} different times for ${refused.length}`);
}

// Guards against a limited upstream that gets its whole share of the load, while others of its service have room.
void tap.default.test('load beyond a limit goes to upstreams with room', async (t) => {
  const limited = await createLimitedSite(t, 3);
  limited.upstreams.limits.set('u1', String(CALLS_PER_S));
  const results = await sendCalls(limited.site, LOAD_MS);
  checkLimits(t, limited);
  t.same(
    results.filter(({ status }) => status !== 200),
    [],
    'every call is served',
  );
});

// Guards against each host that keeps the whole limit by itself, and against hosts that keep a fixed part unused.
void tap.default.test('all hosts together keep and use the limits of a service', async (t) => {
  const limited = await createLimitedSite(t, 2);
  limited.ids.forEach((id) => limited.upstreams.limits.set(id, String(CALLS_PER_S)));
  const startedAt = performance.now();
  const results = await sendCalls(limited.site, LOAD_MS);
  checkLimits(t, limited);
  checkUse(t, limited, startedAt + GRACE_MS, performance.now());
  checkRefusals(t, results);
});

// Guards against hosts that forget a limit, or add up their shares, when whoever grants sends is lost.
void tap.default.test('the limits hold when all core hosts are lost', async (t) => {
  const limited = await createLimitedSite(t, 2);
  limited.ids.forEach((id) => limited.upstreams.limits.set(id, String(CALLS_PER_S)));
  let areStopped = false;
  const results = await sendCalls(limited.site, LOAD_MS, (ms) => {
    if (ms > CHANGE_MS && !areStopped) {
      areStopped = true;
      ['127.0.1.1', '127.0.1.2', '127.0.1.3'].forEach((ip) => limited.site.stopCore(ip));
    }
  });
  checkLimits(t, limited);
  const served = results.filter(({ at, status }) => status === 200 && at > results[0]!.at + 5_000);
  t.ok(served.length > 0, `${served.length} calls are served without a leader`);
  checkRefusals(t, results);
});

// Guards against an upstream that stays barred after its answers no longer name a limit.
void tap.default.test('a limit ends with an answer that does not name it', async (t) => {
  const limited = await createLimitedSite(t, 1);
  limited.upstreams.limits.set('u1', String(CALLS_PER_S));
  await sendCalls(limited.site, CHANGE_MS);
  limited.upstreams.limits.clear();
  await sendCalls(limited.site, CHANGE_MS);
  const results = await sendCalls(limited.site, CHANGE_MS);
  t.same(
    results.filter(({ status }) => status !== 200),
    [],
    'every call is served',
  );
});
