import * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';
import * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as relayServers from '../src/relay-server.js';

const IP = '127.0.0.1';

/** What a host may send at first, in bytes, and the time until the rest of it arrives, in milliseconds: as in a network. */
const FLIGHT_BYTES = 10 * 1_460;
const ROUND_TRIP_MS = 20;

/** Sizes of uploads, in bytes; the system takes each of them without a reader. */
const SIZES = [30_000, 200_000];

/** Number of calls of each kind. */
const CALLS = 10;

/** Time limit of a call, in milliseconds. */
const PATIENCE_MS = 4_000;

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

const log = new schemas.SilentLog();
const clock = new schemas.SystemClock();

function createLinks(options: Partial<paths.UpstreamLinksOptions>): paths.UpstreamLinks {
  return new paths.UpstreamLinks({
    availabilityZone: 'a',
    relays: { listHosts: () => [], listReserves: () => [] },
    connectMs: 1_000,
    findProbe: () => ({ method: 'GET', path: '/health' }),
    clock,
    log,
    random: () => 0,
    ...options,
  });
}

/** Passes on what arrives in flights, one in each round trip, and then the end. */
function passInFlights(from: net.Socket, to: net.Socket): void {
  let waiting = Buffer.alloc(0);
  let hasEnded = false;
  let isWaiting = false;
  const pass = () => {
    isWaiting = false;
    const flight = waiting.subarray(0, FLIGHT_BYTES);
    waiting = waiting.subarray(flight.length);
    if (flight.length > 0) {
      isWaiting = true;
      to.write(flight);
      setTimeout(pass, ROUND_TRIP_MS);
    } else if (hasEnded) {
      to.end();
    }
  };
  const take = () => {
    if (!isWaiting) {
      pass();
    }
  };
  from.on('data', (bytes: Buffer) => {
    waiting = Buffer.concat([waiting, bytes]);
    take();
  });
  from.once('end', () => {
    hasEnded = true;
    take();
  });
}

/** Starts a link to a host, on which what it is sent arrives in flights; returns its address. */
async function startLink(t: tap.Test, target: net.NetConnectOpts): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = net.connect({ ...target, allowHalfOpen: true, noDelay: true });
    [near, far].forEach((socket) => sockets.add(socket.on('error', () => {})));
    near.once('close', (hasFailed) => hasFailed && far.resetAndDestroy());
    far.once('close', (hasFailed) => hasFailed && near.resetAndDestroy());
    passInFlights(near, far);
    far.pipe(near);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, IP, resolve);
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `${IP}:${(server.address() as net.AddressInfo).port}`;
}

/** Starts a host that relays, behind a link; returns the address of the link. */
async function startRelay(t: tap.Test): Promise<string> {
  const links = createLinks({});
  const server = new relayServers.RelayServer({
    ipAddress: IP,
    peerPort: 0,
    availabilityZone: 'a',
    maxConnections: 96,
    tunnels: new paths.TunnelService({
      links,
      isListed: () => true,
      maxTunnels: 48,
      record: () => {},
    }),
    log,
    onClosed: () => {},
  });
  await server.start();
  const target = schemas.splitAddress(server.findCandidate()!.address);
  t.teardown(async () => {
    server.close();
    await links.close();
  });
  return startLink(t, target);
}

/** Starts a host that reaches upstreams through another one only; returns the function that makes a call. */
async function startHost(t: tap.Test, answer: fakes.EarlyAnswer) {
  const relay = { address: await startRelay(t), availabilityZone: 'a' };
  const upstream = new fakes.EarlyAnswerUpstream(() => answer);
  const address = await upstream.listen();
  const links = createLinks({
    relays: { listHosts: () => [relay], listReserves: () => [] },
    dialer: { dial: () => Promise.reject(new Error('cut off')) },
  });
  const client = new requests.UpstreamClient({
    gate: requests.createLocalGate(clock, log),
    readNotice: () => requests.EMPTY_NOTICE,
    links,
  });
  t.teardown(async () => {
    upstream.close();
    await client.close();
  });
  const target = requests.createTarget({ upstreamId: 'u1', url: `http://${address}` });
  const send = async (size: number, isRepeatable: boolean): Promise<string> => {
    const call: requests.OutgoingCall = {
      method: 'PUT',
      path: '/x',
      headers: {},
      body: Buffer.alloc(size),
      isRepeatable,
      permit: new requests.SendPermit('u1', false, false, Infinity),
      signal: AbortSignal.timeout(PATIENCE_MS),
    };
    try {
      const opened = await client.open(target, call, () => 'answer');
      const { bytes } = await requests.readAnswer(opened, 1_000, 'u1');
      return bytes.toString();
    } catch (err) {
      return schemas.toError(err).message;
    }
  };
  // The first call finds that the host has lost its own path.
  await send(1, true);
  return send;
}

async function callOften(
  call: (size: number, isRepeatable: boolean) => Promise<string>,
  size: number,
): Promise<string[]> {
  const results: string[] = [];
  while (results.length < CALLS) {
    results.push(await call(size, results.length % 2 === 0));
  }
  return results;
}

// Guards against a part of an answer that counts as whole while its upload is still on its way to the host that relays it.
void tap.default.test('an upload that is answered on its way through another host', async (t) => {
  const call = await startHost(t, {
    bytes: Buffer.from(`${HEAD}part`),
    readsBody: false,
    end: { kind: 'close-and-reset', resetMs: 30 },
  });
  for (const size of SIZES) {
    const wholes = (await callOften(call, size)).filter((result) => result === 'part');
    t.equal(wholes.length, 0, `${size} bytes: parts that count as whole`);
  }
});

// Guards against whole answers that are lost since their upload takes a while to the host that relays it.
void tap.default.test('an upload that is read on its way through another host', async (t) => {
  const call = await startHost(t, {
    bytes: Buffer.from(`${HEAD}whole`),
    readsBody: true,
    end: { kind: 'close' },
  });
  for (const size of SIZES) {
    const others = (await callOften(call, size)).filter((result) => result !== 'whole');
    t.same(others, [], `${size} bytes: answers that are not whole`);
  }
});
