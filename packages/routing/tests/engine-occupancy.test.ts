import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/** Seeds of the randomized workloads. */
const SEEDS = [1, 2, 3, 4, 5] as const;

const ENGINES = ['e0', 'e1', 'e2'] as const;
const HORIZONS_MS = [1_000, 3_000] as const;

/** A small generator of its own, so that a seed gives the same workload on every platform. */
function createRandom(seed: number): () => number {
  let state = seed * 2_654_435_761;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function createRun(callId: string, now: number, random: () => number): routing.PlacedRun {
  const pick = () => ENGINES[Math.floor(random() * ENGINES.length)]!;
  const spec: routing.PlacementSpec = {
    callId,
    availabilityZone: 'a',
    promptTokens: Math.floor(random() * 5_000),
    // Some end at once, some are short, and some exceed their estimate by far.
    answerTokens: Math.floor(random() ** 3 * 1_500),
    leftMs: 39_000,
    excluded: [],
    wantsCopy: false,
    ranMs: 0,
  };
  const backupEngineId = random() < 0.5 ? pick() : undefined;
  const expiresAt = now + spec.leftMs;
  return {
    spec,
    startedAt: now,
    expiresAt,
    engineId: pick(),
    zone: 'a',
    backupEngineId: backupEngineId,
  };
}

/** Sums the forecast of an engine over all runs. */
function sumForecast(
  runs: Iterable<routing.PlacedRun>,
  engineId: string,
  now: number,
  horizonMs: number,
  factor: number,
): number {
  return [...runs]
    .filter((run) => run.engineId === engineId || run.backupEngineId === engineId)
    .reduce(
      (sum, run) => sum + routing.forecastTokens(run.spec, now - run.startedAt, horizonMs, factor),
      0,
    );
}

void tap.default.test('the cached forecast of an engine is the sum over all runs', async (t) => {
  // The cached forecast is valid until a run is added, removed, changes its backup, reaches its
  // estimate or exceeds it, or the factor of the engine changes. If one of these did not invalidate it, an engine would look empty or
  // full for seconds and be overfilled or left idle.
  SEEDS.forEach((seed) => {
    const random = createRandom(seed);
    const registry = new routing.RunRegistry();
    const runs = new Map<string, routing.PlacedRun>();
    const differences: number[] = [];
    for (let n = 0, now = 0; n < 2_000; n += 1, now += random() * 60) {
      const callId = `c${Math.floor(random() * 40)}`;
      const action = random();
      if (action < 0.4) {
        const run = createRun(callId, now, random);
        runs.set(callId, run);
        registry.set(run);
      } else if (action < 0.6) {
        runs.delete(callId);
        registry.remove(callId);
      } else if (action < 0.8) {
        registry.setBackup(callId, random() < 0.5 ? undefined : 'e1');
      }
      if (action > 0.95) {
        registry.getOccupancy('e1').setFactor(1 + Math.floor(random() * 8) / 10);
      }
      for (const engineId of ENGINES) {
        const factor = registry.getOccupancy(engineId).getFactor();
        for (const horizonMs of HORIZONS_MS) {
          const cached = registry.getOccupancy(engineId).getForecastTokens(now, horizonMs);
          differences.push(
            Math.abs(cached - sumForecast(runs.values(), engineId, now, horizonMs, factor)),
          );
        }
      }
    }
    const worst = Math.max(...differences);
    t.ok(worst < 1, `seed ${seed}: at most ${worst.toFixed(3)} tokens apart`);
    t.equal(registry.size, runs.size, 'and no run is lost or left over');
  });
});

void tap.default.test('a restarted engine is emptied, others keep their runs', async (t) => {
  // Its runs, and the backups that it kept, are lost with its process; backups of its runs on other
  // engines are removed along with the runs.
  const registry = new routing.RunRegistry();
  const random = createRandom(9);
  registry.set({ ...createRun('there', 0, random), engineId: 'e0', backupEngineId: 'e1' });
  registry.set({ ...createRun('backed-up', 0, random), engineId: 'e1', backupEngineId: 'e0' });
  registry.removeWorkAt('e0');
  t.ok(registry.getOccupancy('e0').isEmpty);
  t.equal(registry.getOccupancy('e1').running, 1);
  t.equal(registry.getOccupancy('e1').listBackedUp().length, 0);
  t.equal(registry.find('backed-up')?.backupEngineId, undefined);
});

void tap.default.test('an unreleased generation is dropped after its maximum time', async (t) => {
  // Its host crashed. The generation may use capacity for two seconds longer than its caller waits,
  // and not forever.
  const registry = new routing.RunRegistry();
  registry.set({ ...createRun('c1', 0, createRandom(3)), engineId: 'e0' });
  registry.dropOverdue(40_900);
  t.equal(registry.size, 1);
  registry.dropOverdue(41_300);
  t.equal(registry.size, 0);
  t.equal(registry.getOccupancy('e0').running, 0);
});

void tap.default.test('an engine missing from one list keeps its runs', async (t) => {
  // The list is delayed, and an engine is occasionally missing from it. Its runs continue; if
  // they were removed, the engine would look empty when it is listed again and be filled a second
  // time.
  const ledger = new routing.EngineLedger();
  const list = (...engineIds: string[]) =>
    engineIds.map((engineId) => ({
      engineId,
      memoryTokens: 34_000,
      slots: 24,
      availabilityZone: 'a',
    }));
  ledger.setEngines(list('e0', 'e1'));
  const { spec } = createRun('c1', 0, createRandom(4));
  ledger.place({ ...spec, fixedEngineId: 'e0' }, 0);
  const before = ledger.getSummary(0).share;
  ledger.setEngines(list('e1'));
  t.equal(ledger.getSummary(0).share, 0);
  ledger.setEngines(list('e0', 'e1'));
  t.equal(ledger.getSummary(0).share, before);
});

void tap.default.test('a run on a slow engine holds its memory longer', async (t) => {
  // Guards against slow engines that look emptier than they are: their runs produce fewer tokens per
  // millisecond, but also end later.
  const spec = { ...createRun('c1', 0, () => 0.9).spec, promptTokens: 1_000, answerTokens: 800 };
  const usual = routing.forecastTokens(spec, 4_000, 3_000);
  const slow = routing.forecastTokens(spec, 4_000 * 1.3, 3_000, 1.3);
  t.equal(Math.round(slow), Math.round(usual), 'as many steps later, as much memory');
  t.ok(routing.forecastTokens(spec, 4_000, 0, 1.3) < routing.forecastTokens(spec, 4_000, 0));
  const [usualMs, slowMs] = [1, 1.3].map((factor) => routing.getRemainingMs(spec, 4_000, factor));
  t.ok(slowMs! > usualMs! * 1.3, `${Math.round(slowMs!)} ms instead of ${Math.round(usualMs!)}`);
});

void tap.default.test('streams are counted by the targets for their gaps', async (t) => {
  const registry = new routing.RunRegistry();
  const add = (callId: string, gapTargetMs: number | undefined) => {
    const run = createRun(callId, 0, () => 0.9);
    registry.set({ ...run, spec: { ...run.spec, gapTargetMs }, engineId: 'e0' });
  };
  const count = (gapMs: number) => registry.getOccupancy('e0').countLateAt(gapMs);
  t.equal(count(500), 0);
  add('c1', 180);
  add('c2', 180);
  add('c3', 400);
  add('c4', undefined);
  t.same([180, 181, 400, 401].map(count), [0, 2, 2, 3]);
  add('c1', 180);
  t.equal(count(500), 3, 'a run that is registered again counts once');
  registry.remove('c1');
  registry.remove('c1');
  registry.remove('c3');
  t.equal(count(500), 1);
});
