import * as http from 'node:http';
import type * as net from 'node:net';
import * as stream from 'node:stream';

import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import type * as procedures from '../src/core-procedures.js';
import * as placementServices from '../src/placement-service.js';
import * as routedAnswers from '../src/routed-answer.js';
import * as streamPaceMeters from '../src/stream-pace-meter.js';
import * as sites from './support/small-site.js';

function createMeter() {
  const clock = new schemas.VirtualClock();
  const reports: routing.StreamPace[] = [];
  const meter = new streamPaceMeters.StreamPaceMeter(clock, (pace) => reports.push(pace));
  return { clock, meter, reports };
}

function formatEvent(n: number): string {
  return `id: ${n}\ndata: part ${n}\n\n`;
}

void tap.default.test('the pace is reported after 16 events and at the end', async (t) => {
  const { clock, meter, reports } = createMeter();
  meter.recordEvents(1);
  for (let n = 2; n <= 30; n += 1) {
    await clock.advance(n === 20 ? 150 : 30);
    meter.recordEvents(1);
    meter.recordEvents(0);
  }
  t.same(reports, [{ msPerEvent: 30, events: 16, longestGapMs: 30 }]);
  meter.end();
  meter.end();
  t.equal(reports.length, 2, 'once at the end');
  t.same(reports[1], { msPerEvent: (28 * 30 + 150) / 29, events: 30, longestGapMs: 150 });
});

void tap.default.test('events that arrive together count one by one', async (t) => {
  // Guards against a pace that depends on how the network splits a stream.
  const { clock, meter, reports } = createMeter();
  meter.recordEvents(3);
  for (let n = 0; n < 8; n += 1) {
    await clock.advance(60);
    meter.recordEvents(2);
  }
  t.same(reports, [{ msPerEvent: 30, events: 17, longestGapMs: 60 }]);
});

void tap.default.test('a stream of few events reports nothing', async (t) => {
  const { clock, meter, reports } = createMeter();
  for (let n = 0; n < 15; n += 1) {
    meter.recordEvents(1);
    await clock.advance(30);
  }
  meter.end();
  meter.recordEvents(20);
  t.same(reports, [], 'nor does it after its end');
});

void tap.default.test('a caller that reads slowly is no slow engine', async (t) => {
  // Guards against gaps of an engine that were caused by a caller that stopped reading: events are sent every 5 ms, and
  // the caller pauses after some. What is measured ends there.
  const body = new stream.PassThrough();
  const reports: routing.StreamPace[] = [];
  const meter = new streamPaceMeters.StreamPaceMeter(new schemas.SystemClock(), (pace) =>
    reports.push(pace),
  );
  const answer = { status: 200, headers: {}, body, wasReset: () => false, recordStopped: () => {} };
  const delivered = new Promise<void>((resolve) => {
    const server = http.createServer((_req, res) => {
      void routedAnswers
        .deliverAnswer(
          res,
          {
            kind: 'coming',
            answer,
            upstreamId: 'e-1',
            bytes: Buffer.alloc(0),
            paceMeter: meter,
            release: () => {},
            recordEvents: () => {},
            confirmEnd: () => Promise.resolve(),
            canResume: () => false,
            recordSilence: () => {},
            resume: async () => Promise.resolve(undefined),
          },
          true,
          () => {},
        )
        .finally(() => server.close(() => resolve()));
    });
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo;
      http.get({ host: '127.0.0.1', port, agent: false }, (res) => {
        setTimeout(() => res.resume(), 600);
      });
    });
  });
  const filler = 'x'.repeat(200_000);
  for (let n = 1; n <= 40; n += 1) {
    // From event 21 on, the events exceed the buffers between the host and its caller.
    body.write(`id: ${n}\ndata: ${n > 20 ? filler : n}\n\n`);
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  body.end();
  await delivered;
  t.ok(reports.length > 0, 'the events before the pause are reported');
  t.ok(
    reports.every(({ events }) => events < 40),
    'those after it are not',
  );
  const longest = Math.max(...reports.map(({ longestGapMs }) => longestGapMs));
  t.ok(longest < 500, `longest gap: ${longest} ms`);
});

/** Records the reports that reach a leader, until the test ends. */
function recordReports(t: { teardown(handler: () => unknown): void }): procedures.PaceReport[] {
  const reports: procedures.PaceReport[] = [];
  const { prototype } = placementServices.PlacementService;
  const { recordPace } = prototype;
  prototype.recordPace = (report) => {
    reports.push(report);
  };
  t.teardown(() => {
    prototype.recordPace = recordPace;
  });
  return reports;
}

async function createSite(
  t: { teardown(handler: () => unknown): void },
  serve: http.RequestListener,
): Promise<sites.SmallSite> {
  const site = new sites.SmallSite(t);
  site.answersProbes = true;
  await site.start(3);
  await site.addUpstream('e-1', 'engines', serve);
  await site.addUpstream('e-2', 'engines', serve);
  const version = await site.declare({});
  await site.until('in force', () => site.entry.store.getVersion() === version);
  await site.until(
    'listed',
    () => site.entry.isReady() && site.entry.directory.listLive('engines').length === 2,
  );
  return site;
}

/** Writes events every 10 ms, from one number to another. */
async function writeEvents(res: http.ServerResponse, from: number, to: number): Promise<void> {
  for (let n = from; n <= to; n += 1) {
    res.write(formatEvent(n));
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}

void tap.default.test('streams of engines that state a slowdown report their pace', async (t) => {
  // Guards against reports of deployments whose engines state none, and against none where they do.
  const reports = recordReports(t);
  const site = await createSite(t, (req, res) => {
    const load = req.headers['call-id'] === 'c-stated' ? createLoadHeader(1.5) : {};
    res.writeHead(200, { 'call-id': req.headers['call-id'], ...load });
    void writeEvents(res, 1, 20).then(() => res.end());
  });
  await site.call('/drafts/x', { tokens: '400', 'call-id': 'c-unstated' }, 'write');
  await site.call('/drafts/x', { tokens: '400', 'call-id': 'c-stated' }, 'write');
  await site.until('reported', () => reports.length >= 2);
  t.same(
    reports.map(({ callId, events, service }) => [callId, service, events]),
    [
      ['c-stated', 'engines', 16],
      ['c-stated', 'engines', 20],
    ],
  );
  const [first] = reports;
  t.match(first?.engineId, /^e-[12]$/);
  t.ok(first!.msPerEvent >= 5 && first!.msPerEvent <= first!.longestGapMs, 'measured in ms');
});

void tap.default.test('a gap across a resume is no gap of an engine', async (t) => {
  // Guards against engines that count as slow because a run of another engine resumed there: the first engine sends 18
  // events and crashes; the second one sends the others after 400 ms.
  const reports = recordReports(t);
  const site = await createSite(t, (req, res) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'], ...createLoadHeader(1) });
    if (req.headers['resume-from'] === undefined) {
      void writeEvents(res, 1, 18).then(() => req.socket.resetAndDestroy());
    } else {
      setTimeout(() => {
        void writeEvents(res, 19, 38).then(() => res.end());
      }, 400);
    }
  });
  const res = await site.call('/drafts/x', { tokens: '400' }, 'write');
  t.equal(res.body, Array.from({ length: 38 }, (_, n) => formatEvent(n + 1)).join(''));
  await site.until('reported', () => reports.length >= 4);
  t.same(
    reports.map(({ events }) => events),
    [16, 18, 16, 20],
  );
  t.equal(new Set(reports.map(({ engineId }) => engineId)).size, 2, 'each by its engine');
  const longest = Math.max(...reports.map(({ longestGapMs }) => longestGapMs));
  t.ok(longest < 400, `longest gap: ${longest} ms`);
});
function createLoadHeader(slowdown: number) {
  return { 'stated-load': JSON.stringify({ running: 1, waiting: 0, slowdown }) };
}
