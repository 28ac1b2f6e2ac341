import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

const MEMORY = 34_000;

/** Tokens that a draft is expected to fill. */
const DRAFT_TOKENS = 3_900;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** So many engines, of which the first ones are in the zone of the host that chooses. */
function createEngines(count: number, near: number): routing.EngineCandidate[] {
  return Array.from({ length: count }, (_, i) => ({
    upstreamId: `e${i}`,
    isNear: i < near,
    isCold: false,
    slots: 24,
    load: new routing.UpstreamLoad(),
    memoryTokens: MEMORY,
    meanTokens: 3_000,
  }));
}

void tap.default.test(
  'a host that chooses alone stays in its zone while it has room',
  async (t) => {
    // The zone is cut off: 7 of 41 engines are on this side, and no leader answers. A draft that is sent across waits for
    // a connection that is never made, 150 ms each time, and after four such engines its caller is refused.
    const engines = createEngines(41, 7);
    const random = createRandom(5);
    const chosen: routing.EngineCandidate[] = [];
    for (let i = 0; i < 20; i += 1) {
      const engine = routing.chooseByMemory(engines, 0, random)!;
      engine.load.trackCall(DRAFT_TOKENS);
      chosen.push(engine);
    }
    t.ok(
      chosen.every(({ isNear }) => isNear),
      'none goes across',
    );
    const most = Math.max(...engines.map(({ load }) => load.calls));
    t.ok(most <= 5, `and none of the seven is given more than ${most}`);
  },
);

void tap.default.test(
  'without room in its zone a host that chooses alone goes across',
  async (t) => {
    // Only its own load is known. Where that alone fills the zone's engines, another zone is the better bet.
    const engines = createEngines(6, 2);
    engines.slice(0, 2).forEach(({ load }) => load.trackCall(MEMORY));
    t.notOk(routing.chooseByMemory(engines, 0, createRandom(5))?.isNear);
    t.ok(routing.chooseByMemory(createEngines(6, 0), 0, createRandom(5)), 'nor where it has none');
  },
);

void tap.default.test('a host that chooses alone does not send all to one engine', async (t) => {
  // Every host of the zone knows its own load only. Were each to take the best of all, all would run to the same one.
  const engines = createEngines(6, 6);
  const random = createRandom(7);
  const drawn = new Set(
    Array.from({ length: 40 }, () => routing.chooseByMemory(engines, 0, random)?.upstreamId),
  );
  t.ok(drawn.size >= 5, `${drawn.size} of 6 are drawn`);
});
