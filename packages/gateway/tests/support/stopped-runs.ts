import * as fakes from '@bramleyridge/fakes';
import type * as tap from 'tap';

import * as smallSites from './small-site.js';
import * as unmarkedEngines from './unmarked-engines.js';

/** Time for which callers wait, in milliseconds. */
const PATIENCE_MS = 15_000;

async function startSite(t: tap.Test, engines: unmarkedEngines.UnmarkedEngines, isCut: boolean) {
  const site = new smallSites.SmallSite(t, isCut);
  await site.start(3);
  Object.assign(site.engines, { copyKvCache: engines.copy.bind(engines) });
  const first = await engines.add(site, 'e-1', (end) => t.teardown(end));
  const { routes, services } = smallSites.createConfig(1);
  await site.declare({
    routes: routes.map((route) => ({ ...route, timeoutMs: PATIENCE_MS })),
    services: services.map((service) =>
      service.engine === undefined
        ? service
        : { ...service, engine: { ...service.engine, slots: 32, memoryTokens: 100_000 } },
    ),
  });
  await site.until('listed', () => countLive(site) === 1);
  await site.until('ready', async () => (await site.call('/unrouted')).status === 404);
  if (isCut) {
    await site.addEntry();
    await site.until('relays known', () => site.entry.countRelays() > 0);
    site.dialers.get('entry')!.cut('reset');
  }
  return { first, site };
}

function countLive(site: smallSites.SmallSite): number {
  return site.entry.directory.listLive('engines').length;
}

async function send(
  t: tap.Test,
  { entryPort }: smallSites.SmallSite,
  callId: string,
  patienceMs: number,
) {
  const headers = { host: 'site.example', 'call-id': callId, key: 'k1', tokens: 400 };
  const lines = Object.entries({ ...headers, patience: patienceMs, 'content-length': 5 });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  const sentAt = performance.now();
  const caller = await fakes.StrictCaller.connect(entryPort);
  t.teardown(() => caller.close());
  const answer = await caller.send(`POST /drafts/x HTTP/1.1\r\n${head}\r\nwrite`);
  const body = answer.body.replaceAll(unmarkedEngines.COMMENT, '');
  return { answer: { ...answer, body }, sentAt, endedAt: performance.now() };
}

/** How long callers wait, and what happens at a last order. */
export interface PlayOptions {
  readonly patienceMs?: number;
  readonly onLastOrder?: (site: smallSites.SmallSite) => void;
}

/** Sends a call for each order; then the engine of all of them leaves. */
export async function playStoppedRuns(
  t: tap.Test,
  framing: unmarkedEngines.FramingName,
  lastOrders: Readonly<Record<string, unmarkedEngines.LastOrder>>,
  isCut: boolean,
  { patienceMs = PATIENCE_MS, onLastOrder = () => {} }: PlayOptions = {},
) {
  const engines = new unmarkedEngines.UnmarkedEngines(framing, lastOrders);
  const { first, site } = await startSite(t, engines, isCut);
  engines.onLastOrder = () => onLastOrder(site);
  const callIds = Object.keys(lastOrders);
  const pending = Promise.all(callIds.map((callId) => send(t, site, callId, patienceMs)));
  await site.until('sent', () =>
    callIds.every((callId) => engines.getView(callId).sends.length === 1),
  );
  const second = await engines.add(site, 'e-2', (end) => t.teardown(end));
  await site.until('both listed', () => countLive(site) === 2);
  site.reportLeaving.add(first);
  const results = await pending;
  return {
    first,
    second,
    results: results.map(({ answer, endedAt, sentAt }, i) => {
      const { orderedAt = Infinity, sends } = engines.getView(callIds[i]!);
      const lastedMs = Math.round(endedAt - sentAt);
      const tookMs = Math.round(endedAt - orderedAt);
      return { answer, sends, callId: callIds[i]!, lastedMs, tookMs };
    }),
  };
}
