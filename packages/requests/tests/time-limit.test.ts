import * as net from 'node:net';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

/** Time limit of an answer, in milliseconds. */
const ANSWER_MS = 500;

/** Time within which a call whose time is over must end, in milliseconds. */
const MAX_MS = 2_000;

/** Interval at which unused memory is collected, in milliseconds. */
const COLLECT_INTERVAL_MS = 50;

interface Clients {
  readonly engines: requests.EngineClient;
  readonly services: requests.ServiceClient;
}

const OPERATIONS: Readonly<
  Record<string, (clients: Clients, upstream: schemas.Upstream) => Promise<unknown>>
> = {
  'a cancellation': ({ engines }, upstream) => engines.cancel(upstream, 'g1'),
  'a load report': ({ engines }, upstream) => engines.getJson(upstream, '/load'),
  'a call to a service': ({ services }, upstream) =>
    services.send(upstream, {
      method: 'GET',
      path: '/confirms',
      headers: {},
      body: Buffer.alloc(0),
      isRepeatable: true,
    }),
};

/** Starts an upstream that sends the head of an answer and no body. */
async function startSilent(t: tap.Test): Promise<schemas.Upstream> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n'));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    upstreamId: 'u1',
    kind: 'engine',
    availabilityZone: 'a',
    url: `http://127.0.0.1:${port}`,
    state: 'live',
    checksFencing: false,
  };
}

for (const [name, run] of Object.entries(OPERATIONS)) {
  // Guards against a time limit that is collected as unused memory, so that a call waits for a silent upstream forever.
  void tap.default.test(`the time limit of ${name} outlasts the head of its answer`, async (t) => {
    v8.setFlagsFromString('--expose-gc');
    const collect = vm.runInNewContext('gc') as () => void;
    const upstream = await startSilent(t);
    const gate = requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog());
    const common = { gate, connectMs: 300, answerMs: ANSWER_MS };
    const clients: Clients = {
      engines: new requests.EngineClient(common),
      services: new requests.ServiceClient({ ...common, answerBytes: 10_000 }),
    };
    const timer = setInterval(collect, COLLECT_INTERVAL_MS);
    t.teardown(async () => {
      clearInterval(timer);
      await Promise.all([clients.engines.close(), clients.services.close()]);
    });
    const result = run(clients, upstream).then(
      () => 'answered',
      () => 'over',
    );
    const late = new Promise((resolve) => {
      setTimeout(() => resolve('waiting'), MAX_MS);
    });
    t.equal(await Promise.race([result, late]), 'over');
  });
}
