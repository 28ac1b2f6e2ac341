import type * as http from 'node:http';

import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as endlessCalls from './support/endless-calls.js';
import * as smallSites from './support/small-site.js';

/** Time limit of a call, in milliseconds. */
const PATIENCE_MS = 2_500;

/** Time within which bytes that are no answer end a call, in milliseconds; below its time limit. */
const AT_ONCE_MS = 1_500;

/** Time limit of a call whose answer only the limit ends, in milliseconds. */
const SHORT_PATIENCE_MS = 300;

/** The most bytes that may be written on one connection, in bytes: those that are read, and the buffers of sockets. */
const MAX_TAKEN_BYTES = 16 * 1024 * 1024;

/** The largest growth of the memory of the process, in bytes. */
const MAX_GROWTH_BYTES = 192 * 1024 * 1024;

/** Kinds that may be an answer of any length, and end with the time limit of the call. */
const ANY_LENGTH = new Set([
  'a body without a length',
  'small chunks',
  'chunk extensions',
  'events without an identifier',
]);

async function startSite(t: tap.Test): Promise<smallSites.SmallSite> {
  const site = new smallSites.SmallSite(t);
  await site.start(3);
  return site;
}

const { ENDLESS_BODIES, ENDLESS_EVENTS, ENDLESS_HEADS } = fakes;

/** The kinds of bytes for each route. */
const KINDS = {
  once: { ...ENDLESS_HEADS, ...ENDLESS_BODIES },
  plain: { 'one status line': ENDLESS_HEADS['one status line']! },
  drafts: {
    'informational responses': ENDLESS_HEADS['informational responses']!,
    'one chunk extension': ENDLESS_BODIES['one chunk extension']!,
    trailers: ENDLESS_BODIES.trailers!,
    ...ENDLESS_EVENTS,
  },
};

for (const [route, kinds] of Object.entries(KINDS)) {
  // Guards against calls that wait for their deadline, fill the memory or get a false outcome for bytes without end.
  void tap.default.test(`endless bytes of an upstream: ${route}`, async (t) => {
    const site = await startSite(t);
    for (const { endless, kind, path } of await endlessCalls.addEndless(site, t, kinds, route)) {
      await t.test(kind, async (tt) => {
        const rssBefore = process.memoryUsage().rss;
        const isLong = ANY_LENGTH.has(kind);
        const seen = await endlessCalls.call(
          site.entryPort,
          path,
          kind,
          isLong ? SHORT_PATIENCE_MS : PATIENCE_MS,
        );
        tt.ok(seen.tookMs < AT_ONCE_MS, `it took ${Math.round(seen.tookMs)} ms`);
        tt.ok(endless.calls > 0, 'it was sent');
        if (seen.isWhole) {
          tt.ok([502, 504].includes(seen.status), `status ${seen.status}`);
          tt.equal(seen.outcome, 'unknown');
        } else {
          tt.ok([0, 200].includes(seen.status), `cut off after status ${seen.status}`);
        }
        await site.until('closed', () => endless.writing === 0);
        const taken = endless.countTaken() / endless.calls;
        tt.ok(isLong || taken < MAX_TAKEN_BYTES, `${taken} bytes taken for each send`);
        const growth = process.memoryUsage().rss - rssBefore;
        tt.ok(growth < MAX_GROWTH_BYTES, `${growth} bytes of growth`);
      });
    }
  });
}

/** Serves a generation of 20 events, from the event after the last one of its caller. */
function serveWhole(req: http.IncomingMessage, res: http.ServerResponse): void {
  res.writeHead(200, {
    'call-id': String(req.headers['call-id'] ?? ''),
    'content-type': 'text/event-stream',
  });
  for (let id = Number(req.headers['last-event-id'] ?? 0) + 1; id <= 20; id += 1) {
    res.write(createEvent(id));
  }
  res.end();
}

function createEvent(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

const WHOLE = Array.from({ length: 20 }, (_, i) => createEvent(i + 1)).join('');

/** The most calls that are made until the leader has placed one. */
const MAX_CALLS = 5;

/** Returns the engine that holds the copy of a call's run; `undefined` if there is none. */
function findCopy(site: smallSites.SmallSite, request: string): unknown {
  const isChoice = (line: Record<string, unknown>) =>
    line.decision === 'route' && line.request === request;
  return site.lines.find(isChoice)?.copyAt;
}

function countLosses(site: smallSites.SmallSite): number {
  return site.lines.filter(({ event }) => event === 'pool-owner-lost' || event === 'core-lost')
    .length;
}

/** Waits until calls are served, and are placed by the leader. */
async function untilPlaced(site: smallSites.SmallSite, name: string): Promise<void> {
  let calls = 0;
  await site.until('placed by the leader', async () => {
    calls += 1;
    const headers = { tokens: '400', 'call-id': `first-${name}-${calls}` };
    const { status } = await site.call('/drafts/first', headers, 'write');
    return status === 200 && findCopy(site, headers['call-id']) !== undefined;
  });
}

/**
 * Makes a call that the leader places. A run that is placed while no leader answers has no copy from which it could go on,
 * and ends with its upstream.
 */
async function callWithCopy(
  tt: tap.Test,
  site: smallSites.SmallSite,
  name: string,
): Promise<{ body: string; tookMs: number }> {
  const losses = countLosses(site);
  for (let i = 1; i <= MAX_CALLS; i += 1) {
    await untilPlaced(site, `${name}-${i}`);
    const startedAt = performance.now();
    const headers = { tokens: '400', patience: '10000', 'call-id': `${name}-${i}` };
    const answer = await site
      .call('/drafts/x', headers, `write ${name}-${i}`)
      .catch(schemas.toError);
    if (findCopy(site, headers['call-id']) === undefined) {
      tt.ok(
        countLosses(site) > losses,
        'a call is placed without a copy only if no leader answers',
      );
      continue;
    }
    if (answer instanceof Error) {
      throw answer;
    }
    return { body: answer.body, tookMs: performance.now() - startedAt };
  }
  throw new Error(`no leader answered for ${MAX_CALLS} calls`);
}

// Guards against a stream that is held up by bytes of an event that never ends, though it could go on elsewhere.
void tap.default.test(
  'a stream goes on elsewhere after bytes that complete no event',
  async (t) => {
    const site = await startSite(t);
    await site.declare({});
    for (const [name, bytes, pauseMs] of [
      ['slow', 'x', 50],
      ['fast', 'x'.repeat(1_000), 1],
      ['comments', `: ${'x'.repeat(100_000)}\n\n`, 1],
    ] as const) {
      await t.test(name, async (tt) => {
        const answer = (req: http.IncomingMessage, res: http.ServerResponse) => {
          if (req.url === '/drafts/first' || req.headers['last-event-id'] !== undefined) {
            serveWhole(req, res);
            return;
          }
          const headers = { 'content-type': 'text/event-stream' };
          res.writeHead(200, { ...headers, 'call-id': String(req.headers['call-id']) });
          res.write(createEvent(1));
          const timer = setInterval(() => {
            res.write(bytes);
          }, pauseMs);
          res.once('close', () => clearInterval(timer));
        };
        site.list.upstreams = [];
        await site.addUpstream(`${name}-1`, 'engines', answer);
        await site.addUpstream(`${name}-2`, 'engines', answer);
        await site.until('listed', () =>
          ['-1', '-2'].every((suffix) =>
            site.entry.directory
              .listLive('engines')
              .some(({ upstreamId }) => upstreamId === `${name}${suffix}`),
          ),
        );
        const seen = await callWithCopy(tt, site, name);
        tt.equal(seen.body.replace(/^: .*\n\n/gm, ''), WHOLE);
        tt.ok(seen.tookMs < 3_500, `it took ${Math.round(seen.tookMs)} ms`);
      });
    }
  },
);
