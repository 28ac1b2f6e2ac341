import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

const MEMORY = 34_000;

/** Expected memory of a long generation, in tokens. */
const LONG_GENERATION_TOKENS = 3_900;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Creates engines, of which the first ones are in the zone of the choosing host. */
function createEngines(count: number, sameZoneCount: number): routing.EngineCandidate[] {
  return Array.from({ length: count }, (_, i) => ({
    upstreamId: `e${i}`,
    isSameZone: i < sameZoneCount,
    isCold: false,
    slots: 24,
    load: new routing.UpstreamLoad(),
    memoryTokens: MEMORY,
    meanTokens: 3_000,
  }));
}

void tap.default.test('fallback placement stays in its zone while there is capacity', async (t) => {
  // The zone is cut off: 7 of 41 engines are on this side, and no leader answers. A long
  // generation sent across waits for a connection that is never established, 150 ms each time,
  // and after four such engines it is refused.
  const engines = createEngines(41, 7);
  const random = createRandom(5);
  const chosen: routing.EngineCandidate[] = [];
  for (let i = 0; i < 20; i += 1) {
    const engine = routing.chooseByMemory(engines, 0, random)!;
    engine.load.trackCall(LONG_GENERATION_TOKENS);
    chosen.push(engine);
  }
  t.ok(
    chosen.every(({ isSameZone }) => isSameZone),
    'none leaves the zone',
  );
  const most = Math.max(...engines.map(({ load }) => load.calls));
  t.ok(most <= 5, `no engine of the zone has more than ${most}`);
});

void tap.default.test('fallback placement leaves its zone when there is no capacity', async (t) => {
  // Only the host's own load is known. If that alone fills the engines of the zone, another zone
  // is the better choice.
  const engines = createEngines(6, 2);
  engines.slice(0, 2).forEach(({ load }) => load.trackCall(MEMORY));
  t.notOk(routing.chooseByMemory(engines, 0, createRandom(5))?.isSameZone);
  t.ok(
    routing.chooseByMemory(createEngines(6, 0), 0, createRandom(5)),
    'also without engines in its zone',
  );
});

void tap.default.test('fallback placement does not send everything to one engine', async (t) => {
  // Every host of the zone knows only its own load. If each chose the best of all engines, they
  // would all choose the same one.
  const engines = createEngines(6, 6);
  const random = createRandom(7);
  const drawn = new Set(
    Array.from({ length: 40 }, () => routing.chooseByMemory(engines, 0, random)?.upstreamId),
  );
  t.ok(drawn.size >= 5, `${drawn.size} of 6 are drawn`);
});
