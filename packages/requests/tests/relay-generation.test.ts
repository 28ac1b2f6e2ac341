import * as http from 'node:http';
import type * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const TOKENS = 60;

interface Fixture {
  readonly engine: fakes.FakeEngine;
  readonly engines: requests.EngineClient;
  readonly upstream: schemas.Upstream;
}

async function setUp(t: { teardown(handler: () => unknown): void }, speed = 4): Promise<Fixture> {
  const engine = new fakes.FakeEngine({
    upstreamId: 'e1',
    models: [{ model: 'm', version: 'v1' }],
    checksFencing: true,
    reportLagMs: 0,
    speed,
  });
  const url = await engine.listen();
  const engines = new requests.EngineClient({
    gate: requests.createLocalGate(new schemas.SystemClock(), new schemas.SilentLog()),
    connectMs: 500,
    answerMs: 1_000,
  });
  t.teardown(() => {
    engine.kill();
    return engines.close();
  });
  const upstream: schemas.Upstream = {
    upstreamId: 'e1',
    kind: 'engine',
    availabilityZone: 'a',
    url,
    state: 'live',
    checksFencing: true,
  };
  return { engine, engines, upstream };
}

function start({ engines, upstream }: Fixture, generation: string) {
  const body = JSON.stringify({ model: 'm:v1', prompt: 'x', fake_output_tokens: TOKENS });
  return engines.start(upstream, '/v1/completions', generation, body);
}

/** Relays a generation, calling `act` after each chunk, and returns the text that was received. */
async function relay(
  fixture: Fixture,
  generation: string,
  act: (next: number) => void = () => {},
): Promise<{ end: requests.RelayEnd; text: string }> {
  let reached = 0;
  const events = requests.relayGeneration(
    {
      ...fixture,
      generation,
      from: 0,
      silenceMs: 700,
      clock: new schemas.SystemClock(),
      log: new schemas.SilentLog(),
      onProgress: (next) => {
        reached = next;
      },
    },
    await start(fixture, generation),
  );
  const parts: Buffer[] = [];
  for (;;) {
    const step = await events.next();
    if (step.done) {
      const text = [
        ...Buffer.concat(parts)
          .toString('utf8')
          .matchAll(/"text":"([^"]*)"/g),
      ];
      return { end: step.value, text: text.map((match) => match[1]).join('') };
    }
    parts.push(step.value);
    act(reached);
  }
}

const faults: readonly {
  readonly name: string;
  readonly inject: (fixture: Fixture, next: number) => void;
}[] = [
  {
    name: 'the engine sends every event twice',
    inject: ({ engine }) => {
      engine.faults.doubles = true;
    },
  },
  {
    name: 'chunks end inside characters and lines',
    inject: ({ engine }) => {
      engine.faults.pieceBytes = 7;
    },
  },
  {
    // The engine's connection stalls while new connections work; the relay replaces it and resumes the same generation
    // at the next offset.
    name: 'the connection stalls after token 10',
    inject: ({ engine }, next) => {
      if (next >= 10 && engine.faults.silentBefore === 0) {
        engine.silence();
      }
    },
  },
];

void tap.default.test(
  'the caller receives every token once, in order, from one generation',
  async (t) => {
    for (const { name, inject } of faults) {
      const fixture = await setUp(t);
      inject(fixture, 0);
      const { end, text } = await relay(fixture, 'g1', (next) => inject(fixture, next));
      t.equal(end.outcome, 'complete', name);
      t.equal(text, fakes.getText('g1', TOKENS), `${name}: the text`);
      t.equal(fixture.engine.record.size, 1, `${name}: one generation ran`);
    }
  },
);

void tap.default.test(
  'a stream whose engine fails ends as incomplete with the offset',
  async (t) => {
    // The caller receives what was generated, and the outcome that the rest is lost; nothing of another run is
    // appended.
    const fixture = await setUp(t);
    const { end, text } = await relay(fixture, 'g2', (next) => {
      if (next >= 10) {
        fixture.engine.kill();
      }
    });
    t.equal(end.outcome, 'incomplete');
    t.equal(text, fakes.getText('g2', end.next), 'the received text is a prefix of the generation');
    t.ok(end.next < TOKENS, 'the generation did not finish');
  },
);

void tap.default.test('a generation that the engine lost is not started again', async (t) => {
  const fixture = await setUp(t);
  const { end } = await relay(fixture, 'g3', (next) => {
    if (next >= 5 && fixture.engine.record.size > 0) {
      fixture.engine.model.cancel('g3');
      fixture.engine.record.get('g3')?.end('cancelled');
      fixture.engine.record.delete('g3');
    }
  });
  t.equal(end.outcome, 'incomplete');
  t.equal(fixture.engine.record.size, 0, 'nothing else ran');
});

void tap.default.test(
  'a cancelled generation never runs, even if its start arrives late',
  async (t) => {
    // The start is delayed in the network, and the engine guarantees on the cancellation never to run it. Then it
    // arrives.
    const fixture = await setUp(t);
    const { state } = await fixture.engines.cancel(fixture.upstream, 'late');
    t.equal(state, 'unknown');
    await t.rejects(start(fixture, 'late'));
    t.equal(fixture.engine.record.size, 0);
  },
);

void tap.default.test(
  'a resumed stream may last longer than the limit on its response headers',
  async (t) => {
    // Guards against a time limit on the response headers that also ends the stream: it did so every 700 ms with the
    // settings of this test, and every 5 s in operation.
    const fixture = await setUp(t, 0.2);
    const { end, text } = await relay(fixture, 'g4', (next) => {
      if (next >= 5 && fixture.engine.faults.silentBefore === 0) {
        fixture.engine.silence();
      }
    });
    t.equal(end.outcome, 'complete');
    t.equal(text, fakes.getText('g4', TOKENS));
    t.equal(fixture.engine.streams, 2, 'the first stream and one resumed stream');
  },
);

/** Keeps this process busy. */
function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

// Guards against a connection that is replaced since this process was busy while its events arrived.
void tap.default.test('events that arrived while the process was busy count', async (t) => {
  const fixture = await setUp(t);
  const silenceMs = 300;
  const server = http.createServer((_req, res) => {
    res.write('id: g5:0\ndata: {"choices":[{"text":"a"}]}\n\n');
    const sendBusily = () => {
      res.write('id: g5:1\ndata: {"choices":[{"text":"b","finish_reason":"stop"}]}\n\n');
      process.nextTick(() => block(silenceMs));
      setTimeout(() => res.end('data: [DONE]\n\n'), 1.5 * silenceMs);
    };
    // The next timers are due after it, and before the next read.
    setTimeout(() => setImmediate(sendBusily), silenceMs / 2);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const body = await new Promise<http.IncomingMessage>((resolve, reject) => {
    http.get({ host: '127.0.0.1', port, agent: false }, resolve).on('error', reject);
  });
  const events = requests.relayGeneration(
    {
      ...fixture,
      generation: 'g5',
      from: 0,
      silenceMs,
      clock: new schemas.SystemClock(),
      log: new schemas.SilentLog(),
      onProgress: () => {},
      onLost: () => t.fail('the connection counts as lost'),
    },
    body,
  );
  let step = await events.next();
  while (!step.done) {
    step = await events.next();
  }
  t.same([step.value.outcome, step.value.next], ['complete', 2]);
});
