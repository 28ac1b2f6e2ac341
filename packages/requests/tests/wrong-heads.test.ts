import * as fakes from '@bramleyridge/fakes';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

/** Time limit of an answer, in milliseconds. */
const ANSWER_MS = 1_500;

/** Time within which an answer that is none ends an attempt, in milliseconds; below the time limit. */
const AT_ONCE_MS = 1_000;

const createGate = () =>
  requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog());

const ORDER: schemas.Order = {
  orderId: 'o1',
  fencing: { term: 1, index: 1 },
  action: 'load',
  model: 'drafter',
  version: 'v1',
};

interface Operation {
  readonly body: string;
  readonly run: (clients: Clients, upstream: schemas.Upstream) => Promise<unknown>;
}

interface Clients {
  readonly engines: requests.EngineClient;
  readonly services: requests.ServiceClient;
}

const OPERATIONS: Readonly<Record<string, Operation>> = {
  'a start': {
    body: 'data: 1\n\n',
    run: async ({ engines }, upstream) => {
      const stream = await engines.start(upstream, '/v1/completions', 'g1', '{}');
      return stream.toArray();
    },
  },
  'a resume': {
    body: 'data: 1\n\n',
    run: async ({ engines }, upstream) => {
      const stream = await engines.resume(upstream, 'g1', 1);
      return stream.toArray();
    },
  },
  'a cancellation': {
    body: '{"state":"unknown","tokens":0}',
    run: ({ engines }, upstream) => engines.cancel(upstream, 'g1'),
  },
  'a load report': {
    body: '{"running":1}',
    run: ({ engines }, upstream) => engines.getJson(upstream, '/load'),
  },
  'a call to a service': {
    body: 'text',
    run: ({ services }, upstream) =>
      services.send(upstream, {
        method: 'POST',
        path: '/confirms',
        headers: {},
        body: Buffer.from('b'),
        isRepeatable: false,
      }),
  },
};

async function start(t: tap.Test, createBytes: () => Buffer) {
  const endpoint = new fakes.ShortAnswerUpstream(() => ({ bytes: createBytes() }));
  const address = await endpoint.listen();
  const common = { gate: createGate(), connectMs: 300, answerMs: ANSWER_MS };
  const clients: Clients = {
    engines: new requests.EngineClient(common),
    services: new requests.ServiceClient({ ...common, answerBytes: 10_000 }),
  };
  t.teardown(async () => {
    endpoint.close();
    await Promise.all([clients.engines.close(), clients.services.close()]);
  });
  const upstream: schemas.Upstream = {
    upstreamId: 'u1',
    kind: 'engine',
    availabilityZone: 'a',
    url: `http://${address}`,
    state: 'live',
    checksFencing: false,
  };
  return { clients, upstream };
}

for (const [operation, { body, run }] of Object.entries(OPERATIONS)) {
  // Guards against an answer with a wrong status, head or trailer that counts as one, or as a refusal before the run.
  void tap.default.test(`answers with a wrong head: ${operation}`, async (t) => {
    let answer: fakes.UnusualAnswer = {};
    const { clients, upstream } = await start(t, () =>
      fakes.frameUnusualAnswer(answer, {}, [body]),
    );
    for (const [name, wrong] of Object.entries(fakes.WRONG_ANSWERS)) {
      answer = wrong;
      const startedAt = performance.now();
      const thrown: unknown = await run(clients, upstream).catch((err: unknown) => err);
      t.ok(thrown instanceof Error, name);
      if (thrown instanceof requests.UpstreamError) {
        t.equal(thrown.kind, 'lost', `${name}: it may have run`);
      }
      t.ok(performance.now() - startedAt < AT_ONCE_MS, `${name}: at once`);
      answer = {};
      await t.resolves(run(clients, upstream), `after ${name}`);
    }
    for (const [name, right] of Object.entries(fakes.RIGHT_ANSWERS)) {
      answer = right.statusLine === undefined ? right : {};
      await t.resolves(run(clients, upstream), name);
    }
  });
}

// Guards against an answer of an engine with a wrong status, head or trailer that shows an order as carried out.
void tap.default.test('answers with a wrong head: an order', async (t) => {
  let answer: fakes.UnusualAnswer = {};
  const { clients, upstream } = await start(t, () => fakes.frameUnusualAnswer(answer, {}, ['{}']));
  for (const [name, { trailers, ...wrong }] of Object.entries(fakes.WRONG_ANSWERS)) {
    // Only the status of the answer is used.
    if (trailers === undefined) {
      answer = wrong;
      const order = clients.engines.order(upstream, ORDER, ANSWER_MS);
      const thrown: unknown = await order.catch((err: unknown) => err);
      t.equal(thrown instanceof requests.UpstreamError && thrown.kind, 'lost', name);
      answer = {};
      t.equal(await clients.engines.order(upstream, ORDER, ANSWER_MS), 200, `after ${name}`);
    }
  }
});
