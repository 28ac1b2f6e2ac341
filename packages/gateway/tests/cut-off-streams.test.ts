import type * as http from 'node:http';

import type * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Interval between two events, in milliseconds. */
const EVENT_MS = 25;

/** Number of events of a stream. */
const EVENTS = 80;

/** Events after which a cut begins. */
const EVENTS_BEFORE_CUT = 10;

function createEvent(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

const WHOLE = Array.from({ length: EVENTS }, (_, i) => createEvent(i + 1)).join('');

/** Serves generations as an engine, each from the event after the last one of its caller. */
class EngineStandIn {
  /** Runs that began without a copy, by call. */
  public readonly firstRuns = new Map<string, number>();

  public serve(req: http.IncomingMessage, res: http.ServerResponse): void {
    const callId = String(req.headers['call-id']);
    if (req.url === '/health') {
      res.end('fine');
      return;
    }
    if (req.headers['resume-from'] === undefined) {
      this.firstRuns.set(callId, (this.firstRuns.get(callId) ?? 0) + 1);
    }
    res.writeHead(200, { 'call-id': callId, 'content-type': 'text/event-stream' });
    let next = Number(req.headers['last-event-id'] ?? 0) + 1;
    const timer = setInterval(() => {
      if (next > EVENTS) {
        clearInterval(timer);
        res.end();
        return;
      }
      res.write(createEvent(next));
      next += 1;
    }, EVENT_MS);
    res.once('close', () => clearInterval(timer));
  }
}

async function startSite(t: tap.Test): Promise<{
  site: smallSites.SmallSite;
  engines: EngineStandIn;
}> {
  const site = new smallSites.SmallSite(t, true);
  const engines = new EngineStandIn();
  await site.start(3);
  await site.addEntry();
  for (const name of ['e-1', 'e-2', 'e-3']) {
    await site.addUpstream(name, 'engines', (req, res) => engines.serve(req, res));
  }
  await site.declare({});
  await site.until('listed', () => site.entry.directory.listLive('engines').length === 3);
  await site.until('serving', async () => {
    const { status } = await site.call('/drafts/x', { tokens: '20', 'call-id': 'first' }, 'write');
    return status === 200;
  });
  // The leader tells hosts about each other once all have polled it.
  await site.until('relays known', () => site.entry.countRelays() > 0);
  return { site, engines };
}

function draft(site: smallSites.SmallSite, callId: string) {
  return site.call('/drafts/x', { tokens: '400', 'call-id': callId, patience: '20000' }, 'write');
}

const KINDS: readonly fakes.CutKind[] = ['hang', 'silent', 'reset', 'refused'];

// Guards against streams that end, or lack or repeat events, since their host has lost its path to their engines.
void tap.default.test('streams outlast the loss of the path to their engines', async (t) => {
  const { site, engines } = await startSite(t);
  const dialer = site.dialers.get('entry')!;
  for (const kind of KINDS) {
    await t.test(kind, async (tt) => {
      const running = draft(site, `running-${kind}`);
      await new Promise((resolve) => {
        setTimeout(resolve, EVENTS_BEFORE_CUT * EVENT_MS);
      });
      dialer.cut(kind);
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      const started = draft(site, `started-${kind}`);
      tt.equal((await running).body, WHOLE, 'one that runs when the cut begins');
      if (kind !== 'silent') {
        tt.equal((await started).body, WHOLE, 'one that begins just then');
      } else {
        await started.catch(() => {});
      }
      tt.equal((await draft(site, `late-${kind}`)).body, WHOLE, 'one that begins later');
      dialer.heal();
    });
  }
  const repeated = [...engines.firstRuns].filter(([id, runs]) => id !== 'first' && runs > 1);
  t.same(repeated, [], 'no generation ran twice');
});

/** Gives drafts 8 s, so that a stream which falls silent has time to go on. */
async function allowSilence(site: smallSites.SmallSite): Promise<void> {
  const { routes } = smallSites.createConfig(0);
  const version = await site.declare({
    routes: routes.map((route) => ({ ...route, timeoutMs: 8_000 })),
  });
  await site.until('in force', () => site.entry.store.getVersion() === version);
}

async function awaitEvents(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, EVENTS_BEFORE_CUT * EVENT_MS);
  });
}

// Guards against streams that go on over the same lost path, since a stream that stops is no call that waits.
void tap.default.test('a stream outlasts connections that are accepted and silent', async (t) => {
  const { engines, site } = await startSite(t);
  await allowSilence(site);
  const running = draft(site, 'running');
  await awaitEvents();
  site.dialers.get('entry')!.cut('silent');
  t.equal((await running).body, WHOLE);
  t.equal(engines.firstRuns.get('running'), 1);
});

// Guards against streams that go on through the same relay, whose own path is silent.
void tap.default.test('a stream outlasts the silence of the path of its relay', async (t) => {
  const { engines, site } = await startSite(t);
  await allowSilence(site);
  site.dialers.get('entry')!.cut('reset');
  const running = draft(site, 'running');
  await site.until('relayed', () => site.others[0]!.host.countRelayed() > 0);
  await awaitEvents();
  site.dialers.get('entry-2')!.cut('silent');
  t.equal((await running).body, WHOLE);
  t.equal(engines.firstRuns.get('running'), 1);
});

// Guards against streams that are lost one after the other: alone, none shows that the path to all upstreams is lost.
void tap.default.test('a stream outlasts a path that was silent to the one before', async (t) => {
  const { engines, site } = await startSite(t);
  site.dialers.get('entry')!.cut('silent');
  const silent = await draft(site, 'silent');
  t.equal(silent.status, 504, 'one that may run once and was sent ends at its deadline');
  t.equal((await draft(site, 'late')).body, WHOLE, 'the next one');
  t.equal(engines.firstRuns.get('late'), 1);
});

// Guards against streams that end with the host that relays their connections.
void tap.default.test('a stream outlasts the loss of its relay', async (t) => {
  const { site } = await startSite(t);
  site.dialers.get('entry')!.cut('reset');
  const answer = draft(site, 'relayed');
  await site.until('relayed', () => site.others[0]!.host.countRelayed() > 0);
  await new Promise((resolve) => {
    setTimeout(resolve, EVENTS_BEFORE_CUT * EVENT_MS);
  });
  site.others[0]!.host.kill();
  t.equal((await answer).body, WHOLE, 'it goes on through a core host');
});

// Guards against a planned stop that cuts streams which the host relays for another one.
void tap.default.test('a stream outlasts the planned stop of its relay', async (t) => {
  const { site } = await startSite(t);
  site.dialers.get('entry')!.cut('reset');
  const answer = draft(site, 'relayed');
  const relay = site.others[0]!.host;
  await site.until('relayed', () => relay.countRelayed() > 0);
  const stopped = relay.stop();
  t.equal((await answer).body, WHOLE);
  await stopped;
  t.notOk(
    site.lines.some(({ decision }) => decision === 'resume'),
    'over the same connection',
  );
});
