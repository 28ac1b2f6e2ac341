import * as tap from 'tap';

import * as crashingUpstreams from './support/crashing-upstreams.js';
import type * as sites from './support/small-site.js';

// Guards against prompts that share one bad part, of which no two are alike: each crashes the engine that starts its
// answer, and a ledger of whole calls finds nothing that they have in common.

/** Number of crashes after which calls with the part have to be stopped, and the time within which, in milliseconds. */
const MAX_CRASHES = 5;
const PROPAGATION_MS = 3_000;

/** Maximum number of calls with the part that reach engines later than that. */
const MAX_LATE_SENDS = 3;

/** Lowest share of the good calls that is served from twice that time on. */
const MIN_SERVED_SHARE = 0.5;

/** Pause between two rounds of calls, in milliseconds; bad calls come in every second round. */
const ROUND_MS = 150;

const LOAD_MS = 11_000;

const OPTIONS = { restartMs: 1_500, upstreams: 10 };

const GOOD_PROMPTS = ['aa', 'aa,cc', 'dd'] as const;

interface Result {
  readonly at: number;
  readonly status: number;
}

interface Scenario {
  readonly name: string;
  readonly path: string;
  /** Shared parts of the bad prompts of one round; those that start with `bad` crash their engines. */
  readonly badPrompts: readonly string[];
  /** Called in every round, with its time since the start in milliseconds. */
  readonly onRound?: (site: sites.SmallSite, atMs: number) => void;
}

const isBad = ({ parts }: { readonly parts: readonly string[] }) =>
  parts.some((part) => part.startsWith('bad'));

/** Sends good and bad prompts over all entry hosts, and returns the results of the good ones. */
async function sendPrompts(site: sites.SmallSite, scenario: Scenario): Promise<Result[]> {
  const ports = [site.entryPort, ...site.others.map(({ port }) => port)];
  const pending: Promise<Result>[] = [];
  let count = 0;
  const send = (shared: string): Promise<Result> => {
    count += 1;
    const headers = { 'call-id': `p${count}`, tokens: '40', parts: `${shared},own${count}` };
    const at = Date.now();
    return site.call(scenario.path, headers, `prompt ${count}`, ports[count % ports.length]).then(
      ({ status }) => ({ at, status }),
      () => ({ at, status: 0 }),
    );
  };
  for (let round = 0; round * ROUND_MS < LOAD_MS; round += 1) {
    scenario.onRound?.(site, round * ROUND_MS);
    GOOD_PROMPTS.forEach((shared) => pending.push(send(shared)));
    if (round % 2 === 0) {
      scenario.badPrompts.forEach((shared) => {
        void send(shared);
      });
    }
    await new Promise((resolve) => {
      setTimeout(resolve, ROUND_MS);
    });
  }
  return Promise.all(pending);
}

let hasStoppedLeader = false;

const SCENARIOS: readonly Scenario[] = [
  { name: 'streams that run once, second part', path: '/drafts/a', badPrompts: ['aa,bad'] },
  { name: 'streams that may run again, second part', path: '/checks/a', badPrompts: ['aa,bad'] },
  { name: 'streams that run once, first part', path: '/drafts/a', badPrompts: ['bad'] },
  { name: 'two bad parts at once', path: '/drafts/a', badPrompts: ['aa,bad1', 'aa,bad2'] },
  {
    name: 'bursts of three calls',
    path: '/drafts/a',
    badPrompts: ['aa,bad', 'aa,bad', 'aa,bad'],
  },
  {
    name: 'the leader is lost',
    path: '/drafts/a',
    badPrompts: ['aa,bad'],
    onRound: (site, atMs) => {
      if (!hasStoppedLeader && atMs >= 900) {
        hasStoppedLeader = true;
        site.stopCore(site.findLeader()!);
      }
    },
  },
  {
    name: 'no leader for the whole time',
    path: '/drafts/a',
    badPrompts: ['aa,bad'],
    onRound: (site, atMs) => {
      if (atMs === 0) {
        site.stopCore('127.0.1.1');
        site.stopCore('127.0.1.2');
      }
    },
  },
];

SCENARIOS.forEach((scenario) => {
  void tap.default.test(`a bad part of prompts is stopped: ${scenario.name}`, async (t) => {
    const { site, upstreams } = await crashingUpstreams.createCrashingSite(t, 3, {
      ...OPTIONS,
      isBad,
    });
    const results = await sendPrompts(site, scenario);
    const badParts = new Set(
      scenario.badPrompts
        .flatMap((text) => text.split(','))
        .filter((part) => isBad({ parts: [part] })),
    );
    badParts.forEach((part) => {
      const crashes = upstreams.listPartCrashes(part);
      const fifth = crashes[MAX_CRASHES - 1]?.at ?? Infinity;
      const late = upstreams.countPartSince(part, fifth + PROPAGATION_MS);
      t.ok(late <= MAX_LATE_SENDS, `${part}: ${late} late sends, ${crashes.length} crashes`);
    });
    const lastAt = upstreams.crashes[MAX_CRASHES - 1]?.at ?? upstreams.crashes.at(-1)!.at;
    const late = results.filter(({ at }) => at > lastAt + 2 * PROPAGATION_MS);
    const served = late.filter(({ status }) => status === 200).length;
    t.ok(late.length >= 20, `${late.length} good calls were sent`);
    t.ok(served >= late.length * MIN_SERVED_SHARE, `${served} of ${late.length} good calls served`);
  });
});
