import type * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as callers from './support/caller.js';
import * as deployments from './support/small-deployment.js';

const { night, sales } = deployments.TOKENS;

/** Time within which a cut daemon must serve, in milliseconds. */
const REACH_MS = 3_000;

/** Number of calls that are made during a cut. */
const CALLS = 20;

const KINDS: readonly fakes.CutKind[] = ['hang', 'silent', 'reset', 'refused'];

async function callService(url: string, method: 'GET' | 'POST', booking: string): Promise<number> {
  const target = method === 'GET' ? 'slots/7' : 'confirms';
  const res = await fetch(`${url}/services/booking/${target}`, {
    method,
    headers: { authorization: `Bearer ${sales}` },
    signal: AbortSignal.timeout(4_000),
    ...(method === 'GET' ? {} : { body: JSON.stringify({ booking }) }),
  }).catch(() => undefined);
  await res?.text();
  return res?.status ?? 0;
}

async function countServed(url: string, cut: string): Promise<number> {
  const made = Array.from({ length: CALLS }, (_, i) =>
    deployments
      .pause(i * 50)
      .then(() => callService(url, i % 2 === 0 ? 'GET' : 'POST', `${cut}-${i}`)),
  );
  return (await Promise.all(made)).filter((status) => status === 200).length;
}

// Guards against calls that are refused or lost because their daemon can't reach upstreams that another one reaches.
void tap.default.test('a daemon without upstreams serves its callers', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2);
  await deployment.start(t);
  const url = deployment.getUrl(0);
  const dialer = deployment.dialers.get('a-1')!;
  const zone = ['a-1', 'a-2'].map((daemonId) => deployment.dialers.get(daemonId)!);

  for (const kind of KINDS) {
    await t.test(`while its connections are cut: ${kind}`, async (tt) => {
      const running = callers.stream(url, sales, 400);
      await deployments.pause(100);
      dialer.cut(kind);
      void countServed(url, `first-${kind}`);
      await deployments.pause(REACH_MS);
      tt.ok((await countServed(url, kind)) >= CALLS * 0.95, 'calls to a service');
      const draft = await callers.stream(url, sales, 40);
      tt.equal(draft.outcome, 'complete', 'a generation that begins during the cut');
      dialer.heal();
      const during = await running;
      tt.equal(during.outcome, 'complete', 'a generation that ran when the cut began');
      tt.same(
        during.offsets,
        during.offsets.map((_, i) => i),
        'each token once, in order',
      );
    });
  }

  await t.test('while its whole zone is cut, where the team permits another zone', async (tt) => {
    zone.forEach((item) => item.cut('hang'));
    void countServed(url, 'first-zone');
    await deployments.pause(REACH_MS);
    tt.ok((await countServed(url, 'zone')) >= CALLS * 0.95, 'calls to a service');
    const draft = await callers.stream(url, sales, 40);
    tt.equal(draft.outcome, 'complete', 'a generation');
    const before = deployment.engines.reduce((sum, engine) => sum + engine.record.size, 0);
    const confined = await callers.stream(url, night, 40);
    tt.not(confined.status, 200, 'of a team whose data may be in this zone only');
    const after = deployment.engines.reduce((sum, engine) => sum + engine.record.size, 0);
    tt.equal(after, before, 'which did not run');
    zone.forEach((item) => item.heal());
  });

  const confirms = deployment.services.flatMap((service) => [...service.confirms.values()]);
  t.notOk(
    confirms.some((count) => count > 1),
    'no confirm ran twice',
  );
});

/** Time within which a generation goes on whose connection has become silent, in milliseconds; the limit on silence is 1.5 s. */
const GOES_ON_MS = 2_600;

// Guards against a generation that waits for twice the limit on silence, since it is resumed over the same lost path first.
void tap.default.test('a generation alone outlasts a connection that is silent', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2);
  await deployment.start(t);
  // It has no part in the reports of its zone's engines.
  const index = deployment.running.findIndex(({ cfg }) => cfg.daemonId === 'a-2');
  const times: number[] = [];
  const { offsets, outcome } = await callers.stream(deployment.getUrl(index), sales, 400, {
    onEvent: (count) => {
      times.push(performance.now());
      if (count === 20) {
        deployment.dialers.get('a-2')!.cut('silent');
      }
    },
  });
  t.equal(outcome, 'complete');
  t.same(
    offsets,
    offsets.map((_, i) => i),
    'each token once, in order',
  );
  const longest = Math.max(...times.slice(1).map((time, i) => time - times[i]!));
  t.ok(longest < GOES_ON_MS, `${Math.round(longest)} ms without a token`);
});
