import type * as http from 'node:http';

import * as tap from 'tap';

import * as endlessCalls from './support/endless-calls.js';
import * as smallSites from './support/small-site.js';

/** Number of chunks of one byte in a proper event, and in one that is refused; below 1 MiB. */
const FEW_CHUNKS = 20_000;
const MANY_CHUNKS = 500_000;

/** Number of chunks that are written at once. */
const BLOCK = 2_000;

/** The most chunks that may be written of the one that is refused: those allowed, and the buffers of sockets. */
const MAX_WRITTEN = 400_000;

/** Writes one event in chunks of one byte as fast as they are taken, then another one; returns the number written. */
async function writeChunks(res: http.ServerResponse, count: number): Promise<number> {
  const socket = res.socket!;
  const block = Buffer.from('1\r\nx\r\n'.repeat(BLOCK));
  res.write('id: 1\ndata: ');
  let written = 0;
  for (; written < count && !socket.destroyed; written += BLOCK) {
    await new Promise<void>((resolve) => {
      socket.write(block, () => resolve());
    });
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  res.end('\n\nid: 2\ndata: y\n\n');
  return written;
}

// Guards against an event in chunks of one byte, which takes the processor from all other calls.
void tap.default.test('an event in many small chunks', async (t) => {
  const site = new smallSites.SmallSite(t);
  let written: Promise<number> | undefined;
  await site.addUpstream('engine-1', 'engines', (req, res) => {
    res.writeHead(200, {
      'call-id': String(req.headers['call-id']),
      'content-type': 'text/event-stream',
    });
    res.flushHeaders();
    const isMany = req.url?.includes('many') === true;
    written = writeChunks(res, isMany ? MANY_CHUNKS : FEW_CHUNKS);
  });
  await site.start(3);
  await site.declare({});
  await site.until('listed', () => site.entry.directory.listLive('engines').length > 0);
  await site.until('ready', async () => (await site.call('/unrouted')).status === 404);
  const few = await endlessCalls.call(site.entryPort, '/drafts/few', 'few', 5_000);
  t.match(few, { status: 200, isWhole: true }, 'a proper event passes');
  t.equal(await written, FEW_CHUNKS);
  const many = await endlessCalls.call(site.entryPort, '/drafts/many', 'many', 5_000);
  t.notOk(many.isWhole && many.status === 200, 'one in too many is broken off');
  const count = (await written) ?? 0;
  t.ok(count < MAX_WRITTEN, `${count} chunks were written`);
});
