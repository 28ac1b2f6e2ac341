import * as http from 'node:http';
import type * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as paths from '../src/index.js';

const MAX_CONNECTIONS = 3;

/** Upstream that answers once it is told to. */
class WaitingUpstream {
  private readonly waiting: (() => void)[] = [];
  private readonly server = http.createServer((_req, res) => {
    this.waiting.push(() => res.end('ok'));
  });

  public async start(t: tap.Test): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => {
      this.server.closeAllConnections();
      this.server.close();
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Answers as many calls once they have all arrived. */
  public async answer(calls: number): Promise<void> {
    while (this.waiting.length < calls) {
      await new Promise((resolve) => {
        this.server.once('request', resolve);
      });
    }
    this.waiting.splice(0).forEach((answer) => answer());
  }
}

function createLinks(t: tap.Test): paths.UpstreamLinks {
  const links = new paths.UpstreamLinks({
    availabilityZone: 'a',
    relays: { listHosts: () => [], listReserves: () => [] },
    connectMs: 1_000,
    findMaxConnections: () => MAX_CONNECTIONS,
    findProbe: () => undefined,
    clock: new schemas.SystemClock(),
    log: new schemas.SilentLog(),
    random: () => 0,
  });
  t.teardown(() => links.close());
  return links;
}

async function call(links: paths.UpstreamLinks, address: string): Promise<string> {
  const origin = `http://${address}`;
  const res = await links.getAgent(address).request({ origin, path: '/', method: 'GET' });
  return res.body.text();
}

// Guards against a host that refuses all calls for seconds after a burst, while its connections wait for calls.
void tap.default.test('connections that no call uses yield to new ones', async (t) => {
  const links = createLinks(t);
  const upstreams = [new WaitingUpstream(), new WaitingUpstream()];
  const [first, second] = await Promise.all(upstreams.map((upstream) => upstream.start(t)));
  const burst = [1, 2, 3].map(() => call(links, first!));
  const answered = upstreams[0]!.answer(3);
  await t.rejects(call(links, second!), paths.ConnectionLimitError, 'none yields to a call');
  t.ok(links.isFull());
  await answered;
  await Promise.all(burst);
  t.equal(links.countConnections(), MAX_CONNECTIONS);
  t.notOk(links.isFull());
  const next = [call(links, first!), call(links, second!)];
  await Promise.all([upstreams[0]!.answer(1), upstreams[1]!.answer(1)]);
  t.same(await Promise.all(next), ['ok', 'ok']);
  const client = links.createClient(`http://${second!}`);
  const once = client.request({ path: '/', method: 'GET' });
  await upstreams[1]!.answer(1);
  t.equal((await once).statusCode, 200, 'and to those of single calls');
  t.equal(links.countConnections(), MAX_CONNECTIONS);
  await client.destroy();
});
