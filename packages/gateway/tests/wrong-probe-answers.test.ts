import type * as http from 'node:http';

import * as tap from 'tap';

import * as smallSites from './support/small-site.js';

/** Time for which a call that may run once is not answered, in milliseconds; streams are checked before. */
const HELD_MS = 2_500;

const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'];
const EMPTY = 'content-length: 0\r\n\r\n';

/** Answers to probes, as upstreams give them that don't know the check of their health. */
const ANSWERS: Readonly<Record<string, (req: http.IncomingMessage) => void>> = {
  'an error': ({ socket }) => socket.end(`HTTP/1.1 500 Fault\r\n${EMPTY}`),
  'the answer to another call': ({ socket }) =>
    socket.end(`HTTP/1.1 200 OK\r\ncall-id: other\r\n${EMPTY}`),
  'a statement that it leaves': ({ socket }) =>
    socket.end(`HTTP/1.1 503 Leaving\r\nnot-run: 1\r\nleaving: 1\r\n${EMPTY}`),
  'no HTTP': ({ socket }) => socket.end('what?\r\n\r\n'),
  'a head without an end': ({ socket }) => socket.write('HTTP/1.1 200 OK\r\nnever: '),
  'a change of the protocol': ({ socket }) =>
    socket.write('HTTP/1.1 101 Other\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n'),
  'the end of the connection': ({ socket }) => socket.end(),
  'a reset': ({ socket }) => socket.resetAndDestroy(),
  nothing: () => {},
};

// Guards against streams and calls that end since an upstream answers wrongly when its path is checked.
void tap.default.test('wrong answers to probes end nothing', async (t) => {
  const site = new smallSites.SmallSite(t);
  await site.start(3);
  await site.addEntry();
  const runs: string[] = [];
  let probes = 0;
  let answerProbe = (_req: http.IncomingMessage): void => {};
  const serve: http.RequestListener = (req, res) => {
    if (req.url === '/health') {
      probes += 1;
      answerProbe(req);
      return;
    }
    const callId = String(req.headers['call-id']);
    if (req.headers['resume-from'] === undefined) {
      runs.push(callId);
      res.writeHead(200, { 'call-id': callId });
      res.write(EVENTS[0]);
    } else {
      res.writeHead(200, { 'call-id': callId });
      res.end(EVENTS[1]);
    }
  };
  for (const name of ['e-1', 'e-2', 'e-3']) {
    await site.addUpstream(name, 'engines', serve);
  }
  await site.addUpstream('app-1', 'app', (req, res) => {
    if (req.url === '/health') {
      probes += 1;
      answerProbe(req);
      return;
    }
    const callId = String(req.headers['call-id']);
    runs.push(callId);
    setTimeout(() => {
      res.writeHead(200, { 'call-id': callId });
      res.end('booked');
    }, HELD_MS);
  });
  const version = await site.declare({});
  await site.until('in force', () => site.entry.store.getVersion() === version);
  await site.until('listed', () => site.entry.directory.listLive('engines').length === 3);
  await site.until('app listed', () => site.entry.directory.listLive('app').length === 1);
  await site.until('relays known', () => site.entry.countRelays() > 0);
  for (const [name, answer] of Object.entries(ANSWERS)) {
    answerProbe = answer;
    probes = 0;
    const callId = name.replaceAll(' ', '-');
    const once = site.call('/once/x', { 'call-id': `${callId}-once` }, 'book');
    const draft = site.call('/drafts/x', { tokens: '400', 'call-id': callId }, 'write');
    const { body } = await draft;
    t.equal(body, EVENTS.join(''), `${name}: the stream goes on`);
    t.equal((await once).body, 'booked', `${name}: another call goes on`);
    t.ok(probes > 0, `${name}: the path was checked`);
  }
  t.equal(new Set(runs).size, runs.length, 'nothing ran twice');
  t.notOk(site.lines.some(({ event }) => event === 'process-ended'));
});
