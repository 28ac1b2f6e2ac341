import * as tap from 'tap';

import * as fragileUpstreams from './support/crashing-upstreams.js';
import type * as sites from './support/small-site.js';

/** For how long no core host can lead, in milliseconds. */
const LEADERLESS_MS = 8_000;

/** The pause between two arrivals of a bad call, each at the next entry host, in milliseconds. */
const PAUSE_MS = 400;

/** Until a quarantined call has been sent for the last time after a leader is back, in milliseconds. */
const LATER_SENDS_MS = 18_000;

/** How many upstreams a bad call may end: two until it is quarantined and two more in case it is good. */
const MOST_ENDS = 4;

const KINDS = [
  { name: 'a plain call that may be repeated', path: '/plain/a', bad: 'bad-plain' },
  { name: 'a plain call that runs once', path: '/once/a', bad: 'bad-once' },
  { name: 'a draft', path: '/drafts/a', bad: 'bad-draft' },
] as const;

/** Sends each bad call again and again, to one entry host after the other, and a good one beside each. */
async function play(site: sites.SmallSite, durationMs: number): Promise<number[]> {
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

// Guards against each entry host that hears no leader ending upstreams of its own under the same bad call.
void tap.default.test(
  'hosts without a leader share what a call did to its upstreams',
  async (t) => {
    const { site, upstreams } = await fragileUpstreams.createCrashingSite(t, 4);
    const stopped = ['127.0.1.1', '127.0.1.2'];
    stopped.forEach((ip) => site.stopCore(ip));
    const statuses = await play(site, LEADERLESS_MS);
    KINDS.forEach(({ bad, name }) => {
      const { length } = upstreams.listEnds(bad);
      t.ok(length <= 2, `${name}: ${length} ended while nobody led`);
    });
    const served = statuses.filter((status) => status === 200).length;
    t.ok(served >= statuses.length * 0.8, `${served} of ${statuses.length} good calls served`);
    await Promise.all(stopped.map((ip) => site.startCore(ip)));
    await play(site, LATER_SENDS_MS);
    KINDS.forEach(({ bad, name }) => {
      const { length } = upstreams.listEnds(bad);
      t.ok(length <= MOST_ENDS, `${name}: ${length} ended in all`);
    });
  },
);
