import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

/** Seeds of the drawn days. */
const SEEDS = [1, 2, 3, 4, 5] as const;

const ENGINES = ['e0', 'e1', 'e2'] as const;
const HORIZONS_MS = [1_000, 3_000] as const;

/** A small generator of its own, so that a seed draws the same day everywhere. */
function createRandom(seed: number): () => number {
  let state = seed * 2_654_435_761;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function createRun(callId: string, now: number, random: () => number): routing.PlacedRun {
  const pick = () => ENGINES[Math.floor(random() * ENGINES.length)]!;
  const need: routing.PlacementSpec = {
    callId,
    availabilityZone: 'a',
    promptTokens: Math.floor(random() * 5_000),
    // Some are over at once, some are short, and some go far beyond what was told.
    answerTokens: Math.floor(random() ** 3 * 1_500),
    leftMs: 39_000,
    excluded: [],
    wantsCopy: false,
    ranMs: 0,
  };
  const copyAt = random() < 0.5 ? pick() : undefined;
  const endsAt = now + need.leftMs;
  return {
    spec: need,
    startedAt: now,
    expiresAt: endsAt,
    engineId: pick(),
    zone: 'a',
    backupEngineId: copyAt,
  };
}

/** What an engine holds, added up from every run. */
function addUp(
  runs: Iterable<routing.PlacedRun>,
  engineId: string,
  now: number,
  horizonMs: number,
): number {
  return [...runs]
    .filter((run) => run.engineId === engineId || run.backupEngineId === engineId)
    .reduce(
      (sum, run) => sum + routing.forecastTokens(run.spec, now - run.startedAt, horizonMs),
      0,
    );
}

void tap.default.test('the forecast kept by engine is the sum over all runs', async (t) => {
  // The forecast is kept as a line that holds until something comes, goes, changes its copy, reaches its estimate or
  // outlives it. Were one of these missed, an engine would look empty or full for seconds and be overfilled or idle.
  SEEDS.forEach((seed) => {
    const random = createRandom(seed);
    const account = new routing.RunRegistry();
    const runs = new Map<string, routing.PlacedRun>();
    const apart: number[] = [];
    for (let n = 0, now = 0; n < 2_000; n += 1, now += random() * 60) {
      const callId = `c${Math.floor(random() * 40)}`;
      const what = random();
      if (what < 0.4) {
        const run = createRun(callId, now, random);
        runs.set(callId, run);
        account.set(run);
      } else if (what < 0.6) {
        runs.delete(callId);
        account.remove(callId);
      } else if (what < 0.8) {
        account.setBackup(callId, random() < 0.5 ? undefined : 'e1');
      }
      for (const engineId of ENGINES) {
        for (const horizonMs of HORIZONS_MS) {
          const kept = account.getOccupancy(engineId).getForecastTokens(now, horizonMs);
          apart.push(Math.abs(kept - addUp(runs.values(), engineId, now, horizonMs)));
        }
      }
    }
    const worst = Math.max(...apart);
    t.ok(worst < 1, `seed ${seed}: at most ${worst.toFixed(3)} tokens apart`);
    t.equal(account.size, runs.size, 'and no run is lost or left');
  });
});

void tap.default.test('an engine that started again is emptied, others keep theirs', async (t) => {
  // Its runs and the copies that it kept are gone with its process; copies that others keep of them go with the runs.
  const account = new routing.RunRegistry();
  const random = createRandom(9);
  account.set({ ...createRun('there', 0, random), engineId: 'e0', backupEngineId: 'e1' });
  account.set({ ...createRun('copied', 0, random), engineId: 'e1', backupEngineId: 'e0' });
  account.removeWorkAt('e0');
  t.ok(account.getOccupancy('e0').isEmpty);
  t.equal(account.getOccupancy('e1').running, 1);
  t.equal(account.getOccupancy('e1').listBackedUp().length, 0);
  t.equal(account.find('copied')?.backupEngineId, undefined);
});

void tap.default.test('a generation that nobody took off is dropped after its time', async (t) => {
  // Its host died. It may hold room for two seconds more than its caller waits, and not for ever.
  const account = new routing.RunRegistry();
  account.set({ ...createRun('c1', 0, createRandom(3)), engineId: 'e0' });
  account.dropOverdue(40_900);
  t.equal(account.size, 1);
  account.dropOverdue(41_300);
  t.equal(account.size, 0);
  t.equal(account.getOccupancy('e0').running, 0);
});

void tap.default.test(
  'an engine that is missing from one list keeps what runs on it',
  async (t) => {
    // The list lags and now and then an engine is missing from it. Its runs go on; forgotten, the engine would look empty
    // when it is listed again and be filled a second time.
    const ledger = new routing.EngineLedger();
    const list = (...engineIds: string[]) =>
      engineIds.map((engineId) => ({
        engineId,
        memoryTokens: 34_000,
        slots: 24,
        availabilityZone: 'a',
      }));
    ledger.setEngines(list('e0', 'e1'));
    const { spec: need } = createRun('c1', 0, createRandom(4));
    ledger.place({ ...need, fixedEngineId: 'e0' }, 0);
    const before = ledger.getSummary(0).share;
    ledger.setEngines(list('e1'));
    t.equal(ledger.getSummary(0).share, 0);
    ledger.setEngines(list('e0', 'e1'));
    t.equal(ledger.getSummary(0).share, before);
  },
);
