import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as deployments from './support/small-deployment.js';

/** Limit of the body of a call, in bytes. */
const BODY_BYTES = 8_000_000;

/** Number of callers at a time, and of upstreams of the service. */
const CALLERS = 4;
const UPSTREAMS = 3;

const PARTS = ['the first part, ', 'and the last one'];

/** The kinds of calls, by the first part of their paths; the method says which of them may be repeated. */
const KINDS = {
  plain: { maxRuns: Infinity, parts: PARTS, method: 'PUT' },
  once: { maxRuns: 1, parts: PARTS, method: 'POST' },
};

/** Number of calls with small bodies whose shortest time is taken, and the time that it must not reach, in milliseconds. */
const SMALL_CALLS = 12;
const MAX_SMALL_MS = 100;

const PATHS = { 'over the daemon itself': false, 'through another daemon': true };

function createCall(path: string, callId: string, body: string): string {
  const { method } = path.startsWith('/plain/') ? KINDS.plain : KINDS.once;
  const lines = Object.entries({
    host: 'site.example',
    'call-id': callId,
    authorization: `Bearer ${deployments.TOKENS.sales}`,
    'content-length': body.length,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} /services/booking${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

async function startDeployment(t: tap.Test, isCut: boolean) {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], isCut ? 2 : 1, 1, {
    bodyBytes: BODY_BYTES,
    cuttable: isCut ? ['a-1'] : [],
  });
  await deployment.start(t);
  const { callerPort, host } = deployment.running[0]!.cfg;
  const play = new fakes.EarlyAnswerPlay({
    kinds: KINDS,
    callIdHeader: 'call-id',
    createCall,
    connect: () => fakes.StrictCaller.connect(callerPort, host),
  });
  const upstreams = await Promise.all(
    Array.from({ length: UPSTREAMS }, async (_, i) => {
      const upstream = new fakes.EarlyAnswerUpstream((call) => play.answer(call));
      const address = await upstream.listen();
      t.teardown(() => upstream.close());
      const known = deployment.upstreams.find(({ upstreamId }) => upstreamId === 'booking-a')!;
      return { ...known, upstreamId: `early-${i}`, url: `http://${address}` };
    }),
  );
  deployment.platform.set([
    ...deployment.upstreams.filter(({ upstreamId }) => upstreamId !== 'booking-a'),
    ...upstreams,
  ]);
  const makeCall = async () => {
    const res = await fetch(`${deployment.getUrl(0)}/services/booking/first`, {
      headers: { authorization: `Bearer ${deployments.TOKENS.sales}` },
    });
    return { status: res.status, text: await res.text() };
  };
  await deployment.waitUntil('the upstreams', async () => (await makeCall()).text === '');
  if (isCut) {
    deployment.dialers.get('a-1')!.cut('reset');
    await deployment.waitUntil('a relay', async () => (await makeCall()).status === 200);
  }
  return { deployment, play };
}

for (const [path, isCut] of Object.entries(PATHS)) {
  // Guards against a part of an answer that counts as whole because its service closed an upload before it read it.
  void tap.default.test(`uploads that are not read, ${path}`, async (t) => {
    const { deployment, play } = await startDeployment(t, isCut);
    const openedBefore = deployment.dialers.get('a-1')?.opened;
    for (const kind of Object.keys(KINDS)) {
      const { calls, faults } = await play.play(kind, false, CALLERS);
      t.comment(`${kind}: ${faults.length} faults in ${calls} calls`);
      t.same(faults, [], kind);
    }
    t.equal(deployment.dialers.get('a-1')?.opened, openedBefore, 'over the given path');
  });

  // Guards against whole answers to uploads that are refused, sent twice or, after small bodies, delayed.
  void tap.default.test(`whole answers to uploads, ${path}`, async (t) => {
    const { play } = await startDeployment(t, isCut);
    for (const kind of Object.keys(KINDS)) {
      const { calls, faults } = await play.play(kind, true, CALLERS);
      t.comment(`${kind}: ${faults.length} faults in ${calls} calls`);
      t.same(faults, [], kind);
      t.ok((await play.measureSmall(kind, SMALL_CALLS)) < MAX_SMALL_MS, `${kind}, small bodies`);
    }
  });
}
