import * as fc from 'fast-check';
import * as tap from 'tap';

import * as diskRuns from './support/disk-run.js';

/** Number of generated runs, and their seed; both can be set for a long run. */
const RUNS = Number(process.env.DISK_RUNS ?? 500);
const SEED = Number(process.env.DISK_SEED ?? 20261204);

void tap.default.test('what a voter acknowledges survives its disk', async (t) => {
  // Guards against acknowledged entries and votes that a held, slow or full disk lacks, and against a voter that accepts
  // nothing any more after it. Leaders change and send entries, snapshots and repeats while earlier ones still wait.
  let acknowledged = 0;
  let granted = 0;
  const property = fc.asyncProperty(
    fc.array(diskRuns.stepArbitrary, { minLength: 10, maxLength: 60 }),
    async (steps) => {
      const run = await diskRuns.DiskRun.start();
      for (const step of steps) {
        await run.carryOut(step);
      }
      await run.finish();
      acknowledged += run.acknowledged;
      granted += run.granted;
      if (run.violations.length > 0) {
        throw new Error([...new Set(run.violations)].slice(0, 3).join('; '));
      }
    },
  );
  await t.resolves(fc.assert(property, { numRuns: RUNS, seed: SEED }));
  t.ok(acknowledged > RUNS, `${acknowledged} acknowledgments`);
  t.ok(granted > RUNS / 10, `${granted} votes`);
});
