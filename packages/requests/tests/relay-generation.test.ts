import * as fakes from '@bramleyridge/fakes';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const TOKENS = 60;

interface Setting {
  readonly engine: fakes.FakeEngine;
  readonly engines: requests.EngineClient;
  readonly upstream: schemas.Upstream;
}

async function setUp(t: { teardown(handler: () => unknown): void }, speed = 4): Promise<Setting> {
  const engine = new fakes.FakeEngine({
    upstreamId: 'e1',
    models: [{ model: 'm', version: 'v1' }],
    checksFencing: true,
    reportLagMs: 0,
    speed,
  });
  const url = await engine.listen();
  const engines = new requests.EngineClient({ connectMs: 500, answerMs: 1_000 });
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

function start({ engines, upstream }: Setting, generation: string) {
  const body = JSON.stringify({ model: 'm:v1', prompt: 'x', fake_output_tokens: TOKENS });
  return engines.start(upstream, '/v1/completions', generation, body);
}

/** Relays a generation, calling `act` after each chunk, and checks every token that comes. */
async function relay(
  setting: Setting,
  generation: string,
  act: (next: number) => void = () => {},
): Promise<{ end: requests.RelayEnd; text: string }> {
  let reached = 0;
  const events = requests.relayGeneration(
    {
      ...setting,
      generation,
      from: 0,
      silenceMs: 700,
      clock: new schemas.SystemClock(),
      log: new schemas.SilentLog(),
      onProgress: (next) => {
        reached = next;
      },
    },
    await start(setting, generation),
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
  readonly inject: (setting: Setting, next: number) => void;
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
    // The engine's connection goes silent while new connections work; the relay suspects it and
    // resumes the same generation at the next offset on another.
    name: 'the connection goes silent after token 10',
    inject: ({ engine }, next) => {
      if (next >= 10 && engine.faults.silentBefore === 0) {
        engine.silence();
      }
    },
  },
];

void tap.default.test(
  'the caller sees every token once, in order, from one generation',
  async (t) => {
    for (const { name, inject } of faults) {
      const setting = await setUp(t);
      inject(setting, 0);
      const { end, text } = await relay(setting, 'g1', (next) => inject(setting, next));
      t.equal(end.outcome, 'complete', name);
      t.equal(text, fakes.getText('g1', TOKENS), `${name}: the text`);
      t.equal(setting.engine.record.size, 1, `${name}: one generation ran`);
    }
  },
);

void tap.default.test(
  'an engine that dies mid-stream ends as incomplete with the count',
  async (t) => {
    // The caller sees what was generated, then is told that the rest is gone; nothing is spliced on.
    const setting = await setUp(t);
    const { end, text } = await relay(setting, 'g2', (next) => {
      if (next >= 10) {
        setting.engine.kill();
      }
    });
    t.equal(end.outcome, 'incomplete');
    t.equal(text, fakes.getText('g2', end.next), 'what came is a prefix of the generation');
    t.ok(end.next < TOKENS, 'it did not come to its end');
  },
);

void tap.default.test('a generation that the engine lost is not begun again', async (t) => {
  const setting = await setUp(t);
  const { end } = await relay(setting, 'g3', (next) => {
    if (next >= 5 && setting.engine.record.size > 0) {
      setting.engine.model.cancel('g3');
      setting.engine.record.get('g3')?.end('cancelled');
      setting.engine.record.delete('g3');
    }
  });
  t.equal(end.outcome, 'incomplete');
  t.equal(setting.engine.record.size, 0, 'nothing else ran');
});

void tap.default.test(
  'a cancelled generation never runs, also when its start arrives late',
  async (t) => {
    // The start was lost on its way; the engine promises never to run it; the start arrives after all.
    const setting = await setUp(t);
    const { state } = await setting.engines.cancel(setting.upstream, 'late');
    t.equal(state, 'unknown');
    await t.rejects(start(setting, 'late'));
    t.equal(setting.engine.record.size, 0);
  },
);

void tap.default.test(
  'a resumed stream lives on beyond the time allowed for its first answer',
  async (t) => {
    // The limit on the answer once went on to cut the stream itself, every 700 ms here, every 5 s in use.
    const setting = await setUp(t, 0.2);
    const { end, text } = await relay(setting, 'g4', (next) => {
      if (next >= 5 && setting.engine.faults.silentBefore === 0) {
        setting.engine.silence();
      }
    });
    t.equal(end.outcome, 'complete');
    t.equal(text, fakes.getText('g4', TOKENS));
    t.equal(setting.engine.streams, 2, 'the first stream and one resumed');
  },
);
