import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as deployments from './support/small-deployment.js';

/** Time within which a call whose answer is cut short must end, in milliseconds. */
const MAX_MS = 4_000;

/** Number of caller connections. */
const CALLERS = 8;

/** Share of the calls with whole answers that must be served. */
const MIN_SERVED = 0.98;

/** Number of upstreams of the service. */
const UPSTREAMS = 3;

/** The kinds of calls, by the first part of their paths, and of how many cases one is played. */
const KINDS = {
  plain: { isStream: false, maxRuns: Infinity, method: 'GET', step: 1 },
  once: { isStream: false, maxRuns: 1, method: 'POST', step: 3 },
};

function createCall(path: string, callId: string): string {
  const { method } = path.startsWith('/plain/') ? KINDS.plain : KINDS.once;
  const lines = Object.entries({
    host: 'site.example',
    'call-id': callId,
    authorization: `Bearer ${deployments.TOKENS.sales}`,
    'content-length': callId.length,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} /services/booking${path} HTTP/1.1\r\n${lines.join('')}\r\n${callId}`;
}

// Guards against a success that is framed as whole though its service's answer was cut short, and calls sent twice.
void tap.default.test('answers of a service cut short', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1);
  await deployment.start(t);
  const { callerPort, host } = deployment.running[0]!.cfg;
  const play = new fakes.ShortAnswerPlay({
    kinds: KINDS,
    callIdHeader: 'call-id',
    createHeaders: (callId) => ({ 'call-id': callId }),
    createCall,
    maxMs: MAX_MS,
    connect: () => fakes.StrictCaller.connect(callerPort, host),
  });
  const upstreams = await Promise.all(
    Array.from({ length: UPSTREAMS }, async (_, i) => {
      const upstream = new fakes.ShortAnswerUpstream((call) => play.answer(call));
      const address = await upstream.listen();
      t.teardown(() => upstream.close());
      const known = deployment.upstreams.find(({ upstreamId }) => upstreamId === 'booking-a')!;
      return { ...known, upstreamId: `short-${i}`, url: `http://${address}` };
    }),
  );
  deployment.platform.set([
    ...deployment.upstreams.filter(({ upstreamId }) => upstreamId !== 'booking-a'),
    ...upstreams,
  ]);
  await deployment.waitUntil('the upstreams', async () => {
    const res = await fetch(`${deployment.getUrl(0)}/services/booking/plain/good/first`, {
      headers: { authorization: `Bearer ${deployments.TOKENS.sales}` },
    });
    return (await res.text()).startsWith('the first part');
  });
  for (const [kind, { step }] of Object.entries(KINDS)) {
    await t.test(kind, async (tt) => {
      await play.play(kind, play.listCases(kind, step), CALLERS);
      tt.same(play.result.faults.splice(0), []);
    });
  }
  const { counts } = play.result;
  t.comment(JSON.stringify(counts));
  t.ok(counts['reused connection']! > 0, 'answers on reused connections were cut');
  t.ok(counts['good: 200']! >= MIN_SERVED * counts.good!, 'calls with whole answers are served');
});
