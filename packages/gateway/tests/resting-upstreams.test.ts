import type * as http from 'node:http';

import * as tap from 'tap';

import * as sites from './support/small-site.js';

/** Rest for which upstreams ask, in milliseconds. */
const REST_MS = 3_000;

/** Time after the answer that asks for rest from which it binds, in milliseconds. */
const BINDS_AFTER_MS = 500;

/** Number of calls that may reach an upstream in a rest. */
const TOLERATED = 2;

/** Time after a statement that an upstream leaves from which no new call may reach it, in milliseconds. */
const LEAVING_MS = 3_000;

/** Pause between two calls, in milliseconds, and the time for which calls are sent. */
const PAUSE_MS = 20;
const LOAD_MS = 9_000;

/** An upstream that asks for rest, or states that it leaves, and what reaches it. */
class StatingUpstream {
  /** Whether calls are turned away, with a request for rest. */
  public asksForRest = false;
  public isLeaving = false;
  public leavingSince = Infinity;
  public readonly arrivedAt: number[] = [];
  public readonly askedAt: number[] = [];
  /** Ids of the calls that it turned away. */
  public readonly turnedAway = new Set<string>();

  public answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    const now = performance.now();
    this.arrivedAt.push(now);
    if (this.isLeaving) {
      this.leavingSince = Math.min(this.leavingSince, now);
      res.setHeader('leaving', '1');
    }
    res.setHeader('call-id', req.headers['call-id'] ?? '');
    if (this.asksForRest) {
      this.askedAt.push(now);
      this.turnedAway.add(String(req.headers['call-id']));
      res.writeHead(503, { 'not-run': '1', 'retry-after': String(REST_MS / 1_000) });
    }
    res.end('ok');
  }

  /** Returns the largest number of calls that arrived in one of the rests for which it asked. */
  public countMostInRest(): number {
    const counts = this.askedAt.map(
      (asked) =>
        this.arrivedAt.filter((at) => at > asked + BINDS_AFTER_MS && at < asked + REST_MS).length,
    );
    return Math.max(0, ...counts);
  }

  public countSince(since: number): number {
    return this.arrivedAt.filter((at) => at > since).length;
  }
}

interface Result {
  readonly callId: string;
  readonly at: number;
  readonly status: number;
  readonly retryAfterS: number;
}

async function createSite(t: tap.Test, upstreamCount: number) {
  const site = new sites.SmallSite(t);
  const upstreams = Array.from({ length: upstreamCount }, () => new StatingUpstream());
  for (const [i, upstream] of upstreams.entries()) {
    await site.addUpstream(`u${i + 1}`, 'app', (req, res) => upstream.answer(req, res));
  }
  await site.start(3);
  await site.declare({});
  await site.until('ready', () => site.entry.isReady());
  return { site, upstreams };
}

/** Sends calls on both kinds of route and returns their results. */
async function sendCalls(site: sites.SmallSite, durationMs: number): Promise<Result[]> {
  const startedAt = performance.now();
  const pending: Promise<Result>[] = [];
  for (let i = 0; performance.now() - startedAt < durationMs; i += 1) {
    const at = performance.now();
    const route = i % 2 === 0 ? 'plain' : 'once';
    pending.push(
      site.call(`/${route}/${i}`, { 'call-id': `c${i}` }).then(({ headers, status }) => ({
        callId: `c${i}`,
        at,
        status,
        retryAfterS: Number(headers['retry-after'] ?? NaN),
      })),
    );
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_MS);
    });
  }
  return Promise.all(pending);
}

// Guards against a host that goes on sending to an upstream which turned a call away and asked for rest.
void tap.default.test('a rest is kept while others have room', async (t) => {
  const { site, upstreams } = await createSite(t, 3);
  const [first] = upstreams;
  first!.asksForRest = true;
  setTimeout(() => {
    first!.asksForRest = false;
  }, REST_MS / 2);
  const results = await sendCalls(site, LOAD_MS);
  t.ok(first!.askedAt.length > 0, 'a rest was asked for');
  t.ok(first!.countMostInRest() <= TOLERATED, `${first!.countMostInRest()} calls in a rest`);
  // A call that was under way when the rest was asked for needs a retry, which may be denied.
  const unserved = results.filter(({ status }) => status !== 200);
  t.same(
    unserved.filter(({ callId, status }) => status !== 503 || !first!.turnedAway.has(callId)),
    [],
    `every call is served, but for ${unserved.length} that were turned away`,
  );
  t.ok(first!.countSince(first!.askedAt.at(-1)! + REST_MS) > 0, 'it is used after its rest');
});

// Guards against calls that are tried at every resting upstream before they are refused.
void tap.default.test('calls are refused at once while all upstreams rest', async (t) => {
  const { site, upstreams } = await createSite(t, 3);
  upstreams.forEach((upstream) => {
    upstream.asksForRest = true;
  });
  const results = await sendCalls(site, LOAD_MS);
  upstreams.forEach((upstream, i) => {
    const most = upstream.countMostInRest();
    t.ok(most <= TOLERATED, `u${i + 1}: ${most} calls in a rest`);
  });
  t.same([...new Set(results.map(({ status }) => status))], [503], 'refused as not run');
  const waits = results.map(({ retryAfterS }) => retryAfterS);
  t.ok(waits.filter((wait) => wait > 1.5).length > waits.length / 4, 'until a rest ends');
  t.ok(
    waits.every((wait) => wait > 0 && wait <= REST_MS / 1_000 + 1),
    'and not much longer',
  );
});

// Guards against new calls to an upstream that states in its answers that it leaves, before or without the list.
void tap.default.test('an upstream that states that it leaves gets no new calls', async (t) => {
  const { site, upstreams } = await createSite(t, 3);
  const [first] = upstreams;
  first!.isLeaving = true;
  const results = await sendCalls(site, LOAD_MS);
  const late = first!.countSince(first!.leavingSince + LEAVING_MS);
  t.ok(first!.leavingSince < Infinity, 'it stated that it leaves');
  t.equal(late, 0, `${late} calls later than ${LEAVING_MS} ms after`);
  t.same(
    results.filter(({ status }) => status !== 200),
    [],
    'every call is served',
  );
});

// Guards against the same where the list is the only other source, and no core host answers.
void tap.default.test('it gets none without core hosts either', async (t) => {
  const { site, upstreams } = await createSite(t, 3);
  ['127.0.1.1', '127.0.1.2', '127.0.1.3'].forEach((ip) => site.stopCore(ip));
  const [first] = upstreams;
  first!.isLeaving = true;
  const results = await sendCalls(site, LOAD_MS);
  const late = first!.countSince(first!.leavingSince + LEAVING_MS);
  t.equal(late, 0, `${late} calls later than ${LEAVING_MS} ms after`);
  t.same(
    results.filter(({ status }) => status !== 200),
    [],
    'every call is served',
  );
});
