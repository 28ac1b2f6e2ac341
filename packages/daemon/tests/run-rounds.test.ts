import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as runRounds from '../src/run-rounds.js';

// Guards against a task that ends for good because one of its rounds has failed.
void tap.default.test('a failed round is logged and the next one follows', async (t) => {
  const clock = new schemas.VirtualClock();
  const lines: object[] = [];
  let rounds = 0;
  const run = runRounds.runRounds({
    log: Object.assign(new schemas.SilentLog(), { error: (line: object) => lines.push(line) }),
    clock,
    step: 'count',
    isStopped: () => rounds === 3,
    failurePauseMs: 100,
    round: async () => {
      rounds += 1;
      if (rounds < 3) {
        throw new Error('bad');
      }
      await Promise.resolve();
    },
  });
  await clock.advance(99);
  t.equal(rounds, 1, 'a round that fails at once does not take up the processor');
  await clock.advance(101);
  await run;
  t.equal(rounds, 3);
  t.match(lines, [
    { event: 'round-failed', task: 'count', err: 'bad' },
    { event: 'round-failed', task: 'count', err: 'bad' },
  ]);
});
