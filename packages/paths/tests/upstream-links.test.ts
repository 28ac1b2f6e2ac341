import * as http from 'node:http';
import type * as net from 'node:net';
import * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as peers from '@bramleyridge/peers';

import * as paths from '../src/index.js';

/** Opens connections to some addresses and has those to all others refused. */
class PartialDialer implements paths.UpstreamDialer {
  public constructor(private readonly reached: readonly string[]) {}

  public async dial(address: string): Promise<stream.Duplex> {
    if (!this.reached.includes(address)) {
      throw Object.assign(new Error('refused'), { code: 'ECONNREFUSED', syscall: 'connect' });
    }
    return Promise.resolve(new stream.PassThrough());
  }
}

/** Fails for want of descriptors. */
const exhaustedDialer: paths.UpstreamDialer = {
  dial: () =>
    Promise.reject(Object.assign(new Error('no more'), { code: 'EMFILE', syscall: 'connect' })),
};

function createLinks(
  own: readonly string[],
  others: readonly string[] | undefined,
  findMaxConnections?: () => number,
  dialer: paths.UpstreamDialer = new PartialDialer(own),
  addresses: readonly string[] = ['u1:1', 'u2:1', 'u3:1'],
): paths.UpstreamLinks {
  return new paths.UpstreamLinks({
    availabilityZone: 'a',
    relays: {
      listHosts: () => (others === undefined ? [] : [{ address: 'h1:1', availabilityZone: 'a' }]),
      listReserves: () => [],
    },
    dialer,
    openThrough: async ({ address }, req) => {
      if (others?.includes(req.address) !== true) {
        throw new peers.TunnelError(address, 'refused');
      }
      return Promise.resolve(new stream.PassThrough());
    },
    connectMs: 100,
    findMaxConnections,
    findProbe: () => undefined,
    listAddresses: () => addresses,
    clock: new schemas.SystemClock(),
    log: new schemas.SilentLog(),
    random: () => 0,
  });
}

void tap.default.test('a process has ended where its address refuses all hosts', async (t) => {
  t.notOk(await createLinks(['u2:1'], ['u2:1']).isListening('u1:1'));
  t.notOk(await createLinks(['u2:1'], undefined).isListening('u1:1'), 'without other hosts');
});

// Guards against calls that are quarantined since a cut host takes upstreams for ended that refuse only its connections.
void tap.default.test('a process has not ended that only this host does not reach', async (t) => {
  const links = createLinks(['u2:1'], ['u1:1', 'u2:1']);
  t.ok(await links.isListening('u1:1'), 'others reach it');
  t.equal(links.state.choose('u1:1'), 'relayed');
  const cutOff = createLinks([], ['u2:1', 'u3:1']);
  await Promise.all(['u2:1', 'u3:1'].map((address) => cutOff.isListening(address)));
  t.ok(cutOff.state.isCutOff());
});

// Guards against calls that are quarantined since a host without room for connections asks no other host.
void tap.default.test('a host without room for connections checks as others do', async (t) => {
  const links = createLinks(['u2:1'], ['u1:1', 'u2:1'], () => 0);
  t.ok(await links.isListening('u1:1'), 'others reach it');
  t.equal(links.state.choose('u1:1'), 'relayed');
  t.equal(links.countConnections(), 0);
});

// Guards against a call that fails although another host reaches its upstream, and against a second connection for it.
void tap.default.test('a connection that is refused is made through another host', async (t) => {
  const links = createLinks([], ['u1:1']);
  t.equal(links.getAgent('u1:1'), links.getAgent('u2:1'), 'the own path at first');
  t.ok(await links.isListening('u1:1'));
  t.not(links.getAgent('u1:1'), links.getAgent('u2:1'));
  await links.close();
});

// Guards against a cut host that finds no way around the cut while half of its connections are in use.
void tap.default.test('a refused call takes another way also beside many others', async (t) => {
  const links = createLinks(['u2:1'], ['u1:1'], () => 2);
  await links.dial('u2:1');
  const client = links.createClient('http://u1:1');
  const failed = await client.request({ path: '/', method: 'GET' }).catch(String);
  t.notMatch(failed, /refused/);
  t.equal(links.state.choose('u1:1'), 'relayed');
  await client.destroy();
});

// Guards against upstreams that a host without descriptors takes for unreachable, and itself for cut off from them.
void tap.default.test(
  'a connect without a descriptor shows nothing about its upstream',
  async (t) => {
    const alone = createLinks([], undefined, undefined, exhaustedDialer);
    const client = alone.createClient('http://u1:1');
    await t.rejects(client.request({ path: '/', method: 'GET' }), paths.ConnectionLimitError);
    const links = createLinks([], ['u1:1'], undefined, exhaustedDialer);
    const relayed = links.createClient('http://u1:1');
    await relayed.request({ path: '/', method: 'GET' }).catch(() => {});
    t.equal(links.state.choose('u1:1'), 'direct');
    const record = () => {};
    const service = new paths.TunnelService({ links, isListed: () => true, maxTunnels: 1, record });
    t.equal(await service.open({ address: 'u1:1', connectMs: 100 }), 'busy');
    await Promise.all([client.destroy(), relayed.destroy()]);
  },
);

// Guards against a host that runs out of descriptors since many upstreams have ended at once.
void tap.default.test('checks of upstreams that end together share their controls', async (t) => {
  const addresses = Array.from({ length: 40 }, (_, i) => `u${i}:1`);
  const partial = new PartialDialer(['u39:1']);
  let connects = 0;
  const dialer = {
    dial: async (address: string) => {
      connects += 1;
      await new Promise(setImmediate);
      return partial.dial(address);
    },
  };
  const links = createLinks([], [], undefined, dialer, addresses);
  const ended = addresses.slice(0, 30);
  const results = await Promise.all(ended.map((address) => links.isListening(address)));
  t.ok(results.every((isListening) => !isListening));
  t.ok(connects <= 60, `${connects} connects`);
  t.ok(await links.isListening('u39:1'), 'and later ones are right');
});

// Guards against a host that is connected again and opens a connection to every upstream at once.
void tap.default.test('paths that are open again are probed some at a time', async (t) => {
  const server = http.createServer((_req, res) => res.end());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  let dialing = 0;
  let peak = 0;
  const sockets: stream.Duplex[] = [];
  const dial = async (): Promise<stream.Duplex> => {
    dialing += 1;
    peak = Math.max(peak, dialing + sockets.filter(({ destroyed }) => !destroyed).length);
    const socket = await new paths.TcpDialer().dial(`127.0.0.1:${port}`, 1_000);
    dialing -= 1;
    sockets.push(socket);
    return socket;
  };
  const clock = new schemas.SystemClock();
  const links = new paths.UpstreamLinks({
    availabilityZone: 'a',
    relays: { listHosts: () => [], listReserves: () => [] },
    dialer: { dial },
    connectMs: 1_000,
    findProbe: () => ({ method: 'GET', path: '/health' }),
    clock,
    log: new schemas.SilentLog(),
    random: () => 0,
  });
  for (let i = 0; i < 100; i += 1) {
    links.state.recordBlocked(`u${i}:1`, 'connect');
  }
  while (links.state.listBlocked().length > 0) {
    await clock.sleep(20);
  }
  t.ok(peak <= 40, `${peak} connections at once`);
  await links.close();
});

// Guards against a host that opens six connections for each of many upstreams that are silent together.
void tap.default.test('silent upstreams are checked some at a time, and all of them', async (t) => {
  const checked = new Set<string>();
  let open = 0;
  let peak = 0;
  const connect = (address: string): Promise<stream.Duplex> => {
    checked.add(address);
    open += 1;
    peak = Math.max(peak, open);
    const socket = new stream.PassThrough();
    // What is written never arrives, and nothing is answered.
    socket.write = () => true;
    return Promise.resolve(
      socket.once('close', () => {
        open -= 1;
      }),
    );
  };
  const clock = new schemas.SystemClock();
  const hosts = ['h1:1', 'h2:1', 'h3:1'].map((address) => ({ address, availabilityZone: 'a' }));
  const reserves = ['c1:1', 'c2:1'].map((address) => ({ address, availabilityZone: 'a' }));
  const links = new paths.UpstreamLinks({
    availabilityZone: 'a',
    relays: { listHosts: () => hosts, listReserves: () => reserves },
    dialer: { dial: connect },
    openThrough: (_relay, req) => connect(req.address),
    connectMs: 1_000,
    findProbe: () => ({ method: 'GET', path: '/health' }),
    clock,
    log: new schemas.SilentLog(),
    random: () => 0,
  });
  const addresses = Array.from({ length: 60 }, (_, i) => `u${i}:1`);
  const calls = addresses.map((address) => links.track(address, 100));
  while (checked.size < addresses.length) {
    await clock.sleep(20);
  }
  t.ok(peak <= 70, `${peak} connections at once`);
  calls.forEach((call) => call.end());
  await links.close();
});

// Guards against a lost path that is found late since many upstreams are silent together.
void tap.default.test(
  'the first checks of silent upstreams show that a host is cut off',
  async (t) => {
    const server = http.createServer((_req, res) => res.end());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => server.close());
    const { port } = server.address() as net.AddressInfo;
    const asked = new Set<string>();
    const clock = new schemas.SystemClock();
    const links = new paths.UpstreamLinks({
      availabilityZone: 'a',
      relays: {
        listHosts: () => [{ address: 'h1:1', availabilityZone: 'a' }],
        listReserves: () => [],
      },
      dialer: {
        dial: () => {
          const socket = new stream.PassThrough();
          socket.write = () => true;
          return Promise.resolve(socket);
        },
      },
      openThrough: (_relay, req) => {
        asked.add(req.address);
        return new paths.TcpDialer().dial(`127.0.0.1:${port}`, 1_000);
      },
      connectMs: 1_000,
      findProbe: () => ({ method: 'GET', path: '/health' }),
      clock,
      log: new schemas.SilentLog(),
      random: () => 0,
    });
    const addresses = Array.from({ length: 60 }, (_, i) => `u${i}:1`);
    const calls = addresses.map((address) => links.track(address, 100));
    await Promise.all(
      calls.map(
        ({ signal }) =>
          new Promise((resolve) => {
            signal.addEventListener('abort', resolve);
          }),
      ),
    );
    t.ok(links.state.isCutOff(), 'and every call takes another path');
    t.ok(asked.size <= 20, `${asked.size} upstreams checked`);
    await links.close();
  },
);
