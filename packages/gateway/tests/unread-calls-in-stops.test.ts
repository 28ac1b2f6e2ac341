import * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as slowUpstreams from './support/slow-upstream.js';
import * as smallSites from './support/small-site.js';

/** Time limit of the calls, in milliseconds: longer than a planned stop. */
const PATIENCE_MS = 20_000;

/** Interval at which a caller sends a byte of its body, in milliseconds. */
const BYTE_INTERVAL_MS = 100;

/** Time before the stop at which the calls begin, in milliseconds. */
const LEAD_MS = 500;

interface Upload {
  /** Everything that was received until the connection was closed. */
  readonly received: Promise<string>;
  readonly stop: () => void;
}

/** Begins a call whose body arrives a byte at a time and never ends. */
function beginUpload(port: number, path: string): Upload {
  const socket = net.connect(port, '127.0.0.1');
  const head = `POST ${path} HTTP/1.1\r\nhost: site.example\r\ncall-id: u1\r\nkey: k1\r\n`;
  socket.write(`${head}patience: ${PATIENCE_MS}\r\ncontent-length: 10000\r\n\r\n`);
  const timer = setInterval(() => socket.writable && socket.write('x'), BYTE_INTERVAL_MS);
  let text = '';
  socket.on('data', (part: Buffer) => {
    text += part.toString('latin1');
  });
  socket.on('error', () => {});
  const received = new Promise<string>((resolve) => {
    socket.once('close', () => {
      clearInterval(timer);
      resolve(text);
    });
  });
  return { received, stop: () => socket.destroy() };
}

for (const path of ['/plain/x', '/once/x']) {
  // Guards against a call that is cut without an answer at the end of a planned stop, since its body is still read.
  void tap.default.test(`a call that is still read in a planned stop: ${path}`, async (t) => {
    const site = new smallSites.SmallSite(t);
    await site.start(3);
    const upstream = new slowUpstreams.SlowUpstream(() => 0);
    await site.addUpstream('app-1', 'app', (req, res) => upstream.answer(req, res));
    const { routes } = smallSites.createConfig(1);
    const timeoutMs = PATIENCE_MS;
    await site.declare({ routes: routes.map((route) => ({ ...route, timeoutMs })) });
    await site.until('served', async () => (await site.call('/plain/ready')).status === 200);
    const upload = beginUpload(site.entryPort, path);
    t.teardown(upload.stop);
    await new schemas.SystemClock().sleep(LEAD_MS);
    await site.entry.stop();
    const received = await upload.received;
    t.match(received, /^HTTP\/1\.1 503 /, 'it is refused');
    t.match(received.toLowerCase(), `${schemas.OUTCOME_HEADER}: not-run`, 'as not run');
    t.notOk(
      upstream.runs.some((run) => run.path === path),
      'and has not run',
    );
  });
}
