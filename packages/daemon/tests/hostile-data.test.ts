import * as http from 'node:http';
import * as net from 'node:net';

import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import * as trpc from '@trpc/server';
import * as fc from 'fast-check';
import * as tap from 'tap';

import type * as peerRouters from '../src/peer-router.js';
import * as callers from './support/caller.js';
import * as hostileData from './support/hostile-data.js';
import * as deployments from './support/small-deployment.js';

const SEED = 68;
const { night, sales } = deployments.TOKENS;

/** Longest time for which a hostile connection is kept, in milliseconds. */
const CONNECTION_MS = 300;
const PEER_CONNECTION_MS = 400;

/** An engine that refuses every call and whose load reports are odd. */
async function startOddEngine(t: { teardown(handler: () => unknown): void }): Promise<string> {
  const bodies = fc.sample(hostileData.oddReport, { numRuns: 500, seed: SEED });
  let served = 0;
  const server = http.createServer((req, res) => {
    if (req.method === 'GET') {
      served += 1;
      res.end(bodies[served % bodies.length]);
      return;
    }
    req.resume();
    res.writeHead(503, { 'x-not-run': '1', 'retry-after': '1e99' }).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/**
 * Writes bytes to a socket and waits until it is closed, by this end at the latest; resolves to the number of bytes
 * received.
 */
function write(
  socket: net.Socket,
  parts: readonly Buffer[],
  keptMs = CONNECTION_MS,
): Promise<number> {
  return new Promise((resolve) => {
    let received = 0;
    const timer = setTimeout(() => socket.destroy(), keptMs);
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      received += bytes.length;
    });
    socket.once('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
    parts.forEach((part) => socket.write(part));
  });
}

/** Sends everything at once, on a connection each; resolves to the number of connections that got an answer. */
async function sendAll(host: string, port: number, all: readonly string[]): Promise<number> {
  const received = await Promise.all(
    all.map((text) => write(net.connect(port, host), [Buffer.from(text, 'latin1')])),
  );
  return received.filter((bytes) => bytes > 0).length;
}

/** A daemon whose every answer is odd, and which is a member of a zone for a while. */
async function joinWithOddAnswers(
  t: { teardown(handler: () => unknown): void },
  { host, keysFile, peerPort }: schemas.DaemonConfig,
): Promise<void> {
  const answers = fc.sample(hostileData.oddValue, { numRuns: 500, seed: SEED });
  let served = 0;
  const rpc = trpc.initTRPC.create();
  const answer = rpc.procedure.mutation(() => {
    served += 1;
    return answers[served % answers.length];
  });
  const router = rpc.router(
    Object.fromEntries(hostileData.PROCEDURES.map((name) => [name, answer])),
  );
  const keyring = new peers.Keyring(keysFile);
  const log = new schemas.SilentLog();
  const server = new peers.PeerServer(router, { host: '127.0.0.1', port: 0, keyring, log });
  const port = await server.listen();
  const mesh = new peers.PeerMesh<peerRouters.PeerRouter>({ keyring, deadlineMs: 5_000 });
  t.teardown(() => {
    mesh.close();
    server.close();
  });
  const beat = {
    daemonId: 'a-0',
    incarnation: 1,
    availabilityZone: 'a',
    host: '127.0.0.1',
    peerPort: port,
    callerPort: 1,
    isLeaving: false,
    revision: 0,
  };
  await mesh.getAt('a-1', { host, peerPort }).sync.mutate({
    from: 'a-0',
    incarnation: 1,
    availabilityZone: 'a',
    beats: [beat],
    isWhole: true,
    dropped: [],
    revision: 0,
    directoryStamp: '',
    entriesStamp: '',
    waitMs: 0,
  });
}

void tap.default.test('daemons outlast hostile data', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1);
  await deployment.start(t);
  const { cfg } = deployment.running[0]!;

  const checkServing = async (t2: tap.Test, what: string) => {
    for (const [i] of deployment.running.entries()) {
      const received = await callers.stream(deployment.getUrl(i), sales, 8);
      t2.ok(callers.isWhole(received, 8), `daemon ${i} serves a generation ${what}`);
    }
    const res = await fetch(`${deployment.getUrl(0)}/services/booking/slots/7`, {
      headers: { authorization: `Bearer ${sales}` },
    });
    t2.equal(res.status, 200, `a service is called ${what}`);
    await res.text();
  };

  // Guards against a list entry, or the load report of an engine, that ends the daemons of its zone.
  await t.test('in the list of upstreams and in load reports', async (t2) => {
    const url = await startOddEngine(t2);
    const sound = deployment.upstreams;
    const spoilt = fc.sample(hostileData.spoil({ ...sound[0]!, url }), { numRuns: 60, seed: SEED });
    const odd = [
      ...spoilt.map((entry, i) => ({ ...entry, upstreamId: `bad-${i}`, availabilityZone: 'a' })),
      ...['mailto:a', 'http://%', 'http://127.0.0.1:0', 'http://a..b'].map((bad, i) => ({
        ...sound[0]!,
        upstreamId: `url-${i}`,
        url: bad,
      })),
      { ...sound[0]!, upstreamId: 'odd', url },
    ];
    deployment.platform.set([...odd, ...sound] as schemas.Upstream[]);
    const list = () => deployment.running[0]!.daemon.view.getDirectory().upstreams;
    await deployment.waitUntil('the list', () => list().some((item) => item.upstreamId === 'odd'));
    t2.ok(
      sound
        .filter((item) => item.availabilityZone === 'a')
        .every((item) => list().some((other) => other.upstreamId === item.upstreamId)),
      'the sound entries are used',
    );
    await deployments.pause(2_000);
    deployment.platform.set(sound);
    await deployment.waitUntil('the former list', () => list().length === 2);
    await checkServing(t2, 'afterwards');
  });

  // Guards against a redirect to another zone that can't be written as a header and ends the daemon.
  await t.test('in the target of a redirect', async (t2) => {
    const target = deployment.running[1]!;
    const createRequest = (odd: string) =>
      `GET /services/booking/${odd} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${night}\r\n\r\n`;
    const { host } = target.cfg;
    const odd = ['\f', '\t', '\u0001', '\u00ff', '%', '"', '\\'].map(createRequest);
    await sendAll(host, target.cfg.callerPort, odd);
    const { entries } = target.daemon.view;
    for (const name of ['\u2028', '\u0000', 'h\r\nx: y', 'h h']) {
      target.daemon.view.entries = { stamp: 'odd', urls: { a: [`http://${name}:1`] } };
      await sendAll(host, target.cfg.callerPort, [createRequest('x')]);
    }
    target.daemon.view.entries = entries;
    await checkServing(t2, 'afterwards');
  });

  // Guards against a request of a caller that ends the daemon with all other calls on it.
  await t.test('from callers', async (t2) => {
    const all = fc.sample(fc.oneof({ weight: 5, arbitrary: hostileData.request }, fc.string()), {
      numRuns: 600,
      seed: SEED,
    });
    let answered = 0;
    for (let at = 0; at < all.length; at += 50) {
      answered += await sendAll(cfg.host, cfg.callerPort, all.slice(at, at + 50));
    }
    t2.ok(answered > all.length / 2, `${answered} of ${all.length} were answered`);
    await checkServing(t2, 'afterwards');
  });

  // Guards against bytes or messages of a peer that end the daemon.
  await t.test('on the port for peers', async (t2) => {
    const garbage = fc.sample(fc.string({ unit: 'binary-ascii' }), { numRuns: 50, seed: SEED });
    await sendAll(cfg.host, cfg.peerPort, garbage);
    const keyring = new peers.Keyring(cfg.keysFile);
    const endpoint = { host: cfg.host, port: cfg.peerPort, keyring };
    let answered = 0;
    const raw = fc.sample(fc.uint8Array({ maxLength: 64 }), { numRuns: 50, seed: SEED });
    const batches = fc.sample(fc.array(hostileData.frame, { minLength: 1, maxLength: 10 }), {
      numRuns: 80,
      seed: SEED,
    });
    const parts = [
      ...raw.map((bytes) => [Buffer.from([0, 0, 0, bytes.length, ...bytes])]),
      ...batches.map((frames) => {
        const writer = new peers.FrameWriter();
        return frames.map((item) => writer.encode(item as never));
      }),
    ];
    for (let at = 0; at < parts.length; at += 20) {
      const received = await Promise.all(
        parts.slice(at, at + 20).map((frames) => {
          const socket = peers.connectToPeer(endpoint, () => {
            frames.forEach((bytes) => socket.write(bytes));
          });
          return write(socket, [], PEER_CONNECTION_MS);
        }),
      );
      answered += received.filter((bytes) => bytes > 0).length;
    }
    t2.ok(answered > batches.length / 2, `${answered} of ${batches.length} were answered`);
    await checkServing(t2, 'afterwards');
  });

  // Guards against the answer of a peer that ends a daemon, or one of its tasks.
  await t.test('in the answers of a peer', async (t2) => {
    await joinWithOddAnswers(t2, cfg);
    const { view } = deployment.running[0]!.daemon;
    const isMember = () => view.getDirectory().members.some(({ daemonId }) => daemonId === 'a-0');
    await deployment.waitUntil('the odd peer', isMember);
    await checkServing(t2, 'beside it');
    await deployment.waitUntil('its end', () => !isMember());
    await checkServing(t2, 'afterwards');
    const revision = await deployment.apply(deployment.createFiles({ weight: 2 }));
    t2.ok(revision > 1, 'a configuration comes into force');
  });
});
