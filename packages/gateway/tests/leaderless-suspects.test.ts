import * as tap from 'tap';

import * as crashingUpstreams from './support/crashing-upstreams.js';
import type * as sites from './support/small-site.js';

/** Time for which no core host can lead, in milliseconds. */
const LEADERLESS_MS = 8_000;

/** Pause between two arrivals of a bad call, each on the next entry host, in milliseconds. */
const PAUSE_MS = 400;

/** Time after the return of a leader until a quarantined call has been sent for the last time, in milliseconds. */
const ALL_SENDS_MS = 18_000;

/**
 * Maximum number of upstreams that a bad call may crash: two until it is quarantined, and two by the sends that would
 * clear a good call.
 */
const MAX_CRASHES = 4;

const KINDS = [
  { name: 'a plain call that may be repeated', path: '/plain/a', bad: 'bad-plain' },
  { name: 'a plain call that runs once', path: '/once/a', bad: 'bad-once' },
  { name: 'a long generation', path: '/drafts/a', bad: 'bad-draft' },
] as const;

/**
 * Repeats each bad call on one entry host after the other, with a good call beside each; returns the statuses of the
 * good calls.
 */
async function sendCalls(site: sites.SmallSite, durationMs: number): Promise<number[]> {
  const ports = [site.entryPort, ...site.others.map(({ port }) => port)];
  const good: Promise<number>[] = [];
  for (let round = 0; round * PAUSE_MS < durationMs; round += 1) {
    KINDS.forEach(({ bad, path }) => {
      const send = (body: string) =>
        site
          .call(
            path,
            { 'call-id': `${body}-${round}`, tokens: '40' },
            body,
            ports[round % ports.length],
          )
          .then(
            ({ status }) => status,
            () => 0,
          );
      void send(bad);
      good.push(send(`good-${round}`));
    });
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_MS);
    });
  }
  return Promise.all(good);
}

// Guards against each entry host without a leader losing upstreams of its own to the same bad call.
void tap.default.test('hosts without a leader share the crashes that a call caused', async (t) => {
  const { site, upstreams } = await crashingUpstreams.createCrashingSite(t, 4);
  const stopped = ['127.0.1.1', '127.0.1.2'];
  stopped.forEach((ip) => site.stopCore(ip));
  const statuses = await sendCalls(site, LEADERLESS_MS);
  KINDS.forEach(({ bad, name }) => {
    const { length } = upstreams.listCrashes(bad);
    t.ok(length <= 2, `${name}: ${length} crashed while there was no leader`);
  });
  const served = statuses.filter((status) => status === 200).length;
  t.ok(served >= statuses.length * 0.8, `${served} of ${statuses.length} good calls served`);
  await Promise.all(stopped.map((ip) => site.startCore(ip)));
  await sendCalls(site, ALL_SENDS_MS);
  KINDS.forEach(({ bad, name }) => {
    const { length } = upstreams.listCrashes(bad);
    t.ok(length <= MAX_CRASHES, `${name}: ${length} crashed in total`);
  });
});
