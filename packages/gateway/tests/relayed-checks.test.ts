import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';

import * as paths from '@bramleyridge/paths';
import * as peers from '@bramleyridge/peers';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';
import * as trpc from '@trpc/server';

import * as relayServers from '../src/relay-server.js';

const IP = '127.0.0.1';

/** Connections for checks that a host without room relays. */
const RESERVE = 16;

const log = new schemas.SilentLog();
const clock = new schemas.SystemClock();

/** Starts an upstream; returns its address. */
async function startUpstream(t: tap.Test): Promise<{ address: string; end: () => Promise<void> }> {
  const server = http.createServer((_req, res) => res.end());
  await new Promise<void>((resolve) => {
    server.listen(0, IP, resolve);
  });
  const end = () =>
    new Promise<void>((resolve) => {
      server.closeAllConnections();
      server.close(() => resolve());
    });
  t.teardown(end);
  return { address: `${IP}:${(server.address() as net.AddressInfo).port}`, end };
}

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

/** Creates the service of a host that has no room for another connection to an upstream. */
function createFullService(): paths.TunnelService {
  const links = createLinks({ findMaxConnections: () => 0 });
  return new paths.TunnelService({ links, isListed: () => true, maxTunnels: 48, record: () => {} });
}

/** Starts the server of an entry host for others; returns its address. */
async function startEntryHost(t: tap.Test): Promise<string> {
  const server = new relayServers.RelayServer({
    ipAddress: IP,
    peerPort: 0,
    availabilityZone: 'a',
    maxConnections: 96,
    tunnels: createFullService(),
    log,
    onClosed: () => {},
  });
  await server.start();
  t.teardown(() => server.close());
  return server.findCandidate()!.address;
}

function createKeyring(t: tap.Test): peers.Keyring {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-keys-'));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const file = path.join(folder, 'keys.json');
  const keys = { k1: crypto.randomBytes(32).toString('base64') };
  fs.writeFileSync(file, JSON.stringify({ active: 'k1', keys }));
  return new peers.Keyring(file);
}

/** Starts a server as daemons have it; returns its address. */
async function startDaemon(t: tap.Test, keyring: peers.Keyring): Promise<string> {
  const tunnels = createFullService();
  const server = new peers.PeerServer(trpc.initTRPC.create().router({}), {
    host: IP,
    port: 0,
    keyring,
    log,
    openTunnel: (req) => tunnels.open(req),
    leaving: tunnels.leaving,
  });
  t.teardown(() => server.close());
  return `${IP}:${await server.listen()}`;
}

/** Checks what others learn from a host without room. */
async function checkFullHost(
  t: tap.Test,
  relay: string,
  keyring: peers.Keyring | undefined,
): Promise<void> {
  const [refusing, other] = [await startUpstream(t), await startUpstream(t)];
  const links = createLinks({
    relays: {
      listHosts: () => [{ address: relay, availabilityZone: 'a' }],
      listReserves: () => [],
    },
    dialer: {
      dial: (address, timeoutMs) =>
        address === refusing.address
          ? Promise.reject(Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }))
          : new paths.TcpDialer().dial(address, timeoutMs),
    },
    openThrough: paths.createOpenThrough(keyring),
    listAddresses: () => [refusing.address, other.address],
  });
  t.ok(await links.isListening(refusing.address), 'an upstream that others reach has not ended');
  t.equal(links.state.choose(refusing.address), 'relayed');

  const { host, port } = schemas.splitAddress(relay);
  const endpoint = { host, port, keyring, timeoutMs: 5_000 };
  const open = (isCheck: boolean) =>
    peers.openTunnel(endpoint, { address: other.address, connectMs: 1_000, isCheck });
  t.match(await open(false).catch(String), /: busy$/, 'a call is not relayed');
  const checks = await Promise.all(Array.from({ length: RESERVE }, () => open(true)));
  t.match(await open(true).catch(String), /: busy$/, 'nor more checks at once');
  await Promise.all(
    checks.map((socket) => {
      socket.on('error', () => {}).resume();
      return socket.closed ? undefined : new Promise((resolve) => socket.once('close', resolve));
    }),
  );
  (await open(true)).on('error', () => {}).destroy();

  await refusing.end();
  t.notOk(await links.isListening(refusing.address), 'one that nobody reaches has ended');
  await links.close();
}

// Guards against an upstream that is taken for ended since the hosts that reach it have no room for another connection.
void tap.default.test('an entry host without room answers checks', async (t) =>
  checkFullHost(t, await startEntryHost(t), undefined),
);

// Guards against the same over the encrypted connections of daemons.
void tap.default.test('a daemon without room answers checks', async (t) => {
  const keyring = createKeyring(t);
  return checkFullHost(t, await startDaemon(t, keyring), keyring);
});
