import type * as http from 'node:http';

import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Size of an answer that is passed on before it has ended, in bytes. */
const PART_BYTES = 100_000;

/** Time for which the engine leaves before its answer ends, in milliseconds. */
const LEAVING_MS = 1_500;

// Guards against a long answer that breaks off because its run was stopped for a migration: it can go on nowhere.
void tap.default.test('a generation that is no stream is not moved', async (t) => {
  const site = new smallSites.SmallSite(t);
  site.answersProbes = true;
  await site.start(3);
  const serve: http.RequestListener = (req, res) => {
    if (req.url !== '/texts/x') {
      res.end();
      return;
    }
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    res.write('a'.repeat(PART_BYTES));
    setTimeout(() => res.end('z'), LEAVING_MS);
  };
  const leaving = await site.addUpstream('e-1', 'engines', serve);
  const { routes } = smallSites.createConfig(1);
  const drafts = routes.find(({ name }) => name === 'drafts')!;
  const texts = { ...drafts, name: 'texts', pathPrefix: '/texts/', isStream: false };
  await site.declare({ routes: [...routes, texts] });
  const countLive = () => site.entry.directory.listLive('engines').length;
  await site.until('listed', () => countLive() === 1);
  await site.until('ready', async () => (await site.call('/unrouted')).status === 404);
  const answer = site.call('/texts/x', { tokens: '400' }, 'write');
  await site.until('sent', () => site.lines.some((line) => line.decision === 'route'));
  await site.addUpstream('e-2', 'engines', serve);
  await site.until('both listed', () => countLive() === 2);
  site.reportLeaving.add(leaving);
  const { body, status } = await answer;
  t.same([status, body.length, body.at(-1)], [200, PART_BYTES + 1, 'z'], 'it is whole');
  t.same(site.engines.copies, [], 'its memory is not copied, and it is not stopped');
});
