import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

import * as stoppedRuns from './support/stopped-runs.js';
import * as unmarkedEngines from './support/unmarked-engines.js';

type LastOrder = unmarkedEngines.LastOrder;

/** Time within which a call ends after its run was stopped, in milliseconds. */
const MAX_MS = 4_000;

/** What the engine at which a run goes on answers, in groups that fit a leaving engine's time. */
const GROUPS = [
  ['status 000', 'status 099', 'status 600', 'status 700', 'status 999'],
  ['status 101', 'an answer after status 101', 'two digits', 'a plus sign', 'another version'],
  ['a blank in a name, first', 'a NUL in a name, last', 'no name, first', 'a folded line, last'],
  ['a DEL in a value, first', 'another length, last', 'a DEL in a name, in the last trailer'],
];

/** The paths to upstreams. */
const PATHS = { 'over the host itself': false, 'through another host': true };

/** The last event of a run. */
const LAST_EVENT = 'data: 2';

for (const [path, isCut] of Object.entries(PATHS)) {
  // Guards against a stream that goes on, or ends as complete, with an answer whose status, head or trailer is wrong.
  void tap.default.test(`a stream goes on with no wrong answer, ${path}`, async (t) => {
    for (const names of GROUPS) {
      await t.test(names.join(', '), async (tt) => {
        const lastOrders = Object.fromEntries(
          ['right', ...names].map((name): [string, LastOrder] => {
            const nextAnswer = fakes.WRONG_ANSWERS[name] ?? { framing: 'chunked' };
            return [name, { run: 'stopped', result: 'made', nextAnswer }];
          }),
        );
        const { results } = await stoppedRuns.playStoppedRuns(tt, 'chunked', lastOrders, isCut);
        for (const { answer, callId, sends, tookMs } of results) {
          const isRight = callId === 'right';
          const isInTrailer = fakes.WRONG_ANSWERS[callId]?.trailers !== undefined;
          tt.ok(sends.length > 1, `${callId}: it has reached the next engine`);
          tt.equal(answer.isWhole, isRight, `${callId}: whether the answer is whole`);
          const hasLast = answer.body.includes(LAST_EVENT);
          // An event before a wrong trailer may be passed on, since the stream is broken off after it.
          tt.ok(hasLast === isRight || isInTrailer, `${callId}: whether it has the last event`);
          tt.ok(!isRight || answer.body === unmarkedEngines.WHOLE, `${callId}: ${answer.body}`);
          tt.ok(tookMs < MAX_MS, `${callId}: it ends in time (${tookMs} ms)`);
        }
      });
    }
  });
}
