import type * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as callLoads from './support/call-load.js';
import * as smallSites from './support/small-site.js';

/** Number of entry hosts. */
const HOSTS = 5;

/** Calls a second, at all hosts together. */
const CALLS_PER_S = 50;

/** Time after a cut from which callers of the cut hosts are to be served, in milliseconds. */
const REACH_MS = 3_000;

/** Time for which service is measured, in milliseconds. */
const MEASURED_MS = 3_000;

interface Cut {
  readonly name: string;
  readonly kind: fakes.CutKind;
  readonly hosts: number;
}

const CUTS: readonly Cut[] = [
  { name: 'hang, three of five', kind: 'hang', hosts: 3 },
  { name: 'are accepted and silent, three of five', kind: 'silent', hosts: 3 },
  { name: 'are reset, three of five', kind: 'reset', hosts: 3 },
  { name: 'live on while new ones are refused, three of five', kind: 'refused', hosts: 3 },
  { name: 'hang, four of five', kind: 'hang', hosts: 4 },
  { name: 'are reset, all five', kind: 'reset', hosts: 5 },
];

async function startSite(t: tap.Test): Promise<{
  site: smallSites.SmallSite;
  load: callLoads.CallLoad;
}> {
  const site = new smallSites.SmallSite(t, true);
  await site.start(3);
  for (let i = 1; i < HOSTS; i += 1) {
    await site.addEntry();
  }
  const load = new callLoads.CallLoad(site, { callsPerS: CALLS_PER_S, patienceMs: 2_000 });
  for (let i = 1; i <= 4; i += 1) {
    await site.addUpstream(`app-${i}`, 'app', (req, res) => load.answer(req, res));
  }
  await site.declare({});
  await load.awaitServing();
  return { site, load };
}

async function playCut(
  t: tap.Test,
  { site, load }: Awaited<ReturnType<typeof startSite>>,
  { kind, hosts }: Pick<Cut, 'kind' | 'hosts'>,
  onCut: () => void = () => {},
): Promise<void> {
  const end = load.begin();
  await load.sleep(1_000);
  const isCut = (index: number) => index < hosts;
  const dialers = [...site.dialers.values()].slice(0, hosts);
  dialers.forEach((dialer) => dialer.cut(kind));
  onCut();
  await load.sleep(REACH_MS);
  load.clear();
  await load.sleep(MEASURED_MS);
  const calls = load.list();
  dialers.forEach((dialer) => dialer.heal());
  await load.sleep(1_000);
  load.clear();
  await load.sleep(1_000);
  await end();
  await Promise.all(calls.map(({ ended }) => ended));
  const atCut = callLoads.countServed(calls.filter(({ host }) => isCut(host)));
  const atOthers = callLoads.countServed(calls.filter(({ host }) => !isCut(host)));
  const othersRate = hosts === HOSTS ? 1 : atOthers.served / atOthers.all;
  const figures = `${atCut.served} of ${atCut.all}, others ${atOthers.served} of ${atOthers.all}`;
  t.ok(atCut.served / atCut.all >= (othersRate * 2) / 3, `served at the cut hosts: ${figures}`);
  const failed = atCut.all - atCut.served + atOthers.all - atOthers.served;
  t.ok(failed <= 10 + calls.length / 50, `failed: ${failed} of ${calls.length}`);
  const after = callLoads.countServed(load.list());
  t.ok(after.served >= after.all * 0.98, `after the cut: ${after.served} of ${after.all}`);
  t.same(load.listRepeatedRuns(), [], 'no call that may run once ran twice');
  t.same(load.listFalseRefusals(), [], 'what was refused as not run did not run');
}

// Guards against calls that are refused or lost because their host can't reach upstreams that other hosts reach.
void tap.default.test(
  'a host without upstreams serves its callers while connections',
  async (t) => {
    const parts = await startSite(t);
    for (const cut of CUTS) {
      await t.test(cut.name, (tt) => playCut(tt, parts, cut));
    }
    await t.test('hang, three of five, and all core hosts are lost', (tt) =>
      playCut(tt, parts, { kind: 'hang', hosts: 3 }, () => {
        setTimeout(() => [1, 2, 3].forEach((i) => parts.site.stopCore(`127.0.1.${i}`)), 1_000);
      }),
    );
  },
);
