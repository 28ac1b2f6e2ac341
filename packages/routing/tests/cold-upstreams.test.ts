import * as tap from 'tap';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

import * as coldShares from '../src/cold-send-quota.js';
import * as engineLedgers from '../src/engine-ledger.js';

/** What one cold upstream declares, and what it bears: its rate half again, and five calls more in one second. */
const CALLS_PER_S = 31;
const BEARABLE = CALLS_PER_S * 1.5 + 5;

/** How much of a cold upstream's rate the leader gives out. */
const LEADER_SENDS = { cold: 18, most: 30 };

function createEngine(engineId: string, coldUntil: number) {
  return {
    engineId,
    memoryTokens: 1_000_000,
    slots: 1_000,
    availabilityZone: 'a',
    sendsPerS: LEADER_SENDS,
    coldUntil,
  };
}

function createNeed(callId: string, excluded: readonly string[] = []) {
  return {
    callId,
    availabilityZone: 'a',
    promptTokens: 1,
    answerTokens: 10,
    leftMs: 4_000,
    excluded,
    wantsCopy: false,
    ranMs: 0,
  };
}

/** The most sends in any second. */
function countMostInSecond(sentAt: readonly number[]): number {
  const sorted = [...sentAt].sort((a, b) => a - b);
  return Math.max(0, ...sorted.map((at) => sorted.filter((o) => o >= at && o < at + 1_000).length));
}

// Guards against a burst that crashes the engines of a zone which returns cold.
void tap.default.test(
  'a zone returns cold into a burst: the leader deals the rate out',
  async (t) => {
    const ledger = new engineLedgers.EngineLedger();
    ledger.setEngines(['e-1', 'e-2'].map((engineId) => createEngine(engineId, 1_000)));
    const sentAt = new Map<string, number[]>([
      ['e-1', []],
      ['e-2', []],
    ]);
    for (let now = 0; now < 3_000; now += 2) {
      const placed = ledger.place(createNeed(`c${now}`), now);
      if (placed !== undefined) {
        sentAt.get(placed.engineId)!.push(now);
      }
    }
    sentAt.forEach((times, engineId) => {
      const early = times.filter((at) => at < 1_000);
      t.ok(countMostInSecond(early) <= LEADER_SENDS.cold, `${engineId} while it is cold`);
      t.ok(early.length >= LEADER_SENDS.cold - 1, `${engineId} is used as fast as it bears`);
      t.ok(countMostInSecond(times) <= LEADER_SENDS.most, `${engineId} at any time`);
    });
  },
);

// Guards against a new leader that places nothing for a second because it was told what runs already.
void tap.default.test('a run that is under way already is no send', async (t) => {
  const ledger = new engineLedgers.EngineLedger();
  ledger.setEngines([createEngine('e-1', 1_000)]);
  for (let i = 0; i < LEADER_SENDS.most; i += 1) {
    ledger.place({ ...createNeed(`told-${i}`), fixedEngineId: 'e-1', isUnderWay: true }, 0);
  }
  t.equal(ledger.place(createNeed('new'), 0)?.engineId, 'e-1');
  for (let i = 0; i < LEADER_SENDS.cold; i += 1) {
    ledger.place({ ...createNeed(`resumed-${i}`), fixedEngineId: 'e-1' }, 1);
  }
  t.equal(ledger.place(createNeed('after'), 2), undefined, 'but one that goes on there is');
});

// Guards against hosts without a leader that together send more than a cold upstream bears.
void tap.default.test('hosts that choose alone stay within their part of the rate', async (t) => {
  for (const hostCount of [20, 78, 350]) {
    const rng = xoroshiro.xoroshiro128plus(hostCount);
    const shares = Array.from(
      { length: hostCount },
      (_, i) => new coldShares.ColdSendQuota(`host-${i}`, () => hostCount),
    );
    const upstreams = Array.from({ length: 12 }, (_, i) => `u-${i}`);
    const sentAt = new Map(upstreams.map((upstreamId) => [upstreamId, [] as number[]]));
    // Every host has a call for every upstream ten times a second: all that waited for the zone.
    for (let now = 0; now < 3_000; now += 100) {
      shares.forEach((share) => {
        upstreams.forEach((upstreamId) => {
          const at = now + ((rng.next() >>> 0) % 100);
          if (share.canSend({ upstreamId, callsPerS: CALLS_PER_S }, at)) {
            share.recordSend(upstreamId, at);
            sentAt.get(upstreamId)!.push(at);
          }
        });
      });
    }
    const most = [...sentAt.values()].map(countMostInSecond);
    t.ok(Math.max(...most) + LEADER_SENDS.most <= BEARABLE, `${hostCount} hosts and a leader`);
    t.ok(Math.min(...most) >= 3, `${hostCount} hosts: none is left unused`);
  }
});

// Guards against hundreds of restarted hosts that each take the share of a small fleet.
void tap.default.test(
  'hosts that were told no number send nothing to cold upstreams',
  async (t) => {
    const share = new coldShares.ColdSendQuota('host-1', () => undefined);
    t.notOk(share.canSend({ upstreamId: 'u', callsPerS: 1_000 }, 0));
  },
);

// Guards against an account that grows with each upstream that ever was cold.
void tap.default.test('a host forgets sends that no longer count', async (t) => {
  const share = new coldShares.ColdSendQuota('host', () => 16);
  for (let i = 0; i < 100; i += 1) {
    share.recordSend(`u-${i}`, i * 500);
  }
  t.ok(share.size <= 3, `${share.size} accounts`);
});

// Guards against shares that are too large while a new leader has heard few of the hosts.
void tap.default.test('hosts that were told of few others take a small share', async (t) => {
  const shares = Array.from(
    { length: 350 },
    (_, i) => new coldShares.ColdSendQuota(`host-${i}`, () => i + 1),
  );
  const takers = shares.filter((share) =>
    share.canSend({ upstreamId: 'u', callsPerS: CALLS_PER_S }, 0),
  );
  t.ok(takers.length <= BEARABLE, `${takers.length} of 350 send at once`);
});
