import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import type * as ports from '../src/ports.js';
import * as silentRunStops from '../src/silent-run-stop.js';

const LATE_MS = 600;

/** Stops a silent run at an engine that answers after a time; returns what was done with the copies. */
async function stopRun(answerMs: number, answer: ports.KvCacheCopyResult) {
  const clock = new schemas.VirtualClock();
  const dropped: string[] = [];
  const replaced: unknown[] = [];
  const engines = {
    copyKvCache: async () => clock.sleep(answerMs).then(() => answer),
    dropKvCache: async (address: string, handle: string) => {
      dropped.push(`${address}/${handle}`);
      return Promise.resolve();
    },
  };
  const createKnown = (id: string) => ({ upstreamId: id, listed: { address: `${id}:1` } });
  const run = { engine: createKnown('a'), backup: { replace: () => replaced.push(1) } };
  const log = { info: () => {}, error: () => {} };
  const copy = { at: createKnown('b'), reference: { kind: 'kept' } };
  let endedAt: number | undefined;
  void silentRunStops
    .stopSilentRun({ engines, clock, log } as never, 'r', run as never, copy as never)
    .then(() => {
      endedAt = clock.now();
    });
  const startedAt = clock.now();
  await clock.advance(2 * LATE_MS);
  return { dropped, replaced: replaced.length, waitedMs: (endedAt ?? Infinity) - startedAt };
}

// Guards against a copy that holds memory and a slot of a crowded engine, since the order for it was answered late.
void tap.default.test('a copy that is made too late is dropped', async (t) => {
  const made = { kind: 'made', handle: 'h' } as const;
  t.same(await stopRun(100, made), { dropped: [], replaced: 1, waitedMs: 100 });
  t.same(await stopRun(LATE_MS, made), { dropped: ['a:1/h'], replaced: 0, waitedMs: 400 });
  const noRoom = { kind: 'no-room', handle: 'h' } as const;
  t.same(await stopRun(100, noRoom), { dropped: ['a:1/h'], replaced: 0, waitedMs: 100 });
});
