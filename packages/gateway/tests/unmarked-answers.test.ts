import * as net from 'node:net';

import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Bytes of an answer that is passed on before it has ended. */
const LONG_BYTES = 200_000;

/** Size of the answers below, of which the upstream sends a part only. */
const STATED_BYTES = 2 * LONG_BYTES;

/** Answers that break off, by the path of their call, and how an upstream begins them. */
const ANSWERS: Readonly<Record<string, { readonly type: string; readonly part: string }>> = {
  '/drafts/x': { type: 'text/event-stream', part: 'id: 1\ndata: a\n\n' },
  '/once/x': { type: 'text/plain', part: 'x'.repeat(LONG_BYTES) },
};

/** Makes a call by HTTP/1.0, and returns what was received and how its connection ended. */
function callOld(port: number, path: string): Promise<{ text: string; end: 'closed' | 'reset' }> {
  return new Promise((resolve) => {
    let text = '';
    const socket = net.connect({ port, host: '127.0.0.1' });
    socket.on('data', (part: Buffer) => {
      text += part.toString('latin1');
    });
    socket.once('end', () => resolve({ text, end: 'closed' }));
    socket.once('error', () => resolve({ text, end: 'reset' }));
    const headers = {
      host: 'site.example',
      'call-id': 'c1',
      key: 'k1',
      tokens: 20,
      patience: 3_000,
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`GET ${path} HTTP/1.0\r\n${lines.join('')}\r\n`);
  });
}

// Guards against a part that looks like a whole answer to a caller who takes the end of its connection for that of the
// answer.
void tap.default.test('an answer that breaks off resets a caller without chunks', async (t) => {
  const site = new smallSites.SmallSite(t);
  await site.start(3);
  for (const service of ['app', 'engines']) {
    await site.addUpstream(`${service}-1`, service, (req, res) => {
      const { part, type } = ANSWERS[req.url ?? ''] ?? { part: '', type: 'text/plain' };
      const callId = req.headers['call-id'];
      if (part === '' || callId === 'whole') {
        res.writeHead(200, { 'call-id': callId });
        res.end(part);
        return;
      }
      res.writeHead(200, { 'call-id': callId, 'content-type': type });
      res.write(part);
      setTimeout(() => res.destroy(), 100);
    });
  }
  await site.declare({});
  await site.until('listed', () =>
    ['app', 'engines'].every((name) => site.entry.directory.listLive(name).length === 1),
  );
  await site.until('ready', async () => (await site.call('/unrouted')).status === 404);
  for (const path of Object.keys(ANSWERS)) {
    const { end, text } = await callOld(site.entryPort, path);
    t.match(text, /^HTTP\/1\.1 200 /, `${path}: the answer began (${text.length} bytes)`);
    t.ok(text.length < STATED_BYTES, `${path}: it broke off`);
    t.equal(end, 'reset', `${path}: and does not look whole`);
  }
});
