import * as tap from 'tap';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

import * as coldSendQuotas from '../src/cold-send-quota.js';
import * as engineLedgers from '../src/engine-ledger.js';

/**
 * The rate that one cold upstream declares. It sustains one and a half times that rate, plus five
 * calls in one second.
 */
const CALLS_PER_S = 31;
const SUSTAINABLE = CALLS_PER_S * 1.5 + 5;

/** The part of a cold upstream's rate that the leader allocates. */
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

function createSpec(callId: string, excluded: readonly string[] = []) {
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

/** Returns the highest number of sends within any second. */
function countMostInSecond(sentAt: readonly number[]): number {
  const sorted = [...sentAt].sort((a, b) => a - b);
  return Math.max(0, ...sorted.map((at) => sorted.filter((o) => o >= at && o < at + 1_000).length));
}

// Guards against a burst that crashes the engines of a zone which returns cold.
void tap.default.test(
  'a zone returns cold during a burst: the leader limits the rate',
  async (t) => {
    const ledger = new engineLedgers.EngineLedger();
    ledger.setEngines(['e-1', 'e-2'].map((engineId) => createEngine(engineId, 1_000)));
    const sentAt = new Map<string, number[]>([
      ['e-1', []],
      ['e-2', []],
    ]);
    for (let now = 0; now < 3_000; now += 2) {
      const placed = ledger.place(createSpec(`c${now}`), now);
      if (placed !== undefined) {
        sentAt.get(placed.engineId)!.push(now);
      }
    }
    sentAt.forEach((times, engineId) => {
      const early = times.filter((at) => at < 1_000);
      t.ok(countMostInSecond(early) <= LEADER_SENDS.cold, `${engineId} while it is cold`);
      t.ok(early.length >= LEADER_SENDS.cold - 1, `${engineId} is used at its full rate`);
      t.ok(countMostInSecond(times) <= LEADER_SENDS.most, `${engineId} at any time`);
    });
  },
);

// Guards against a new leader that places nothing for a second because reported running generations
// count as sends.
void tap.default.test('a run that is already in progress does not count as a send', async (t) => {
  const ledger = new engineLedgers.EngineLedger();
  ledger.setEngines([createEngine('e-1', 1_000)]);
  for (let i = 0; i < LEADER_SENDS.most; i += 1) {
    ledger.place({ ...createSpec(`reported-${i}`), fixedEngineId: 'e-1', isUnderWay: true }, 0);
  }
  t.equal(ledger.place(createSpec('new'), 0)?.engineId, 'e-1');
  for (let i = 0; i < LEADER_SENDS.cold; i += 1) {
    ledger.place({ ...createSpec(`resumed-${i}`), fixedEngineId: 'e-1' }, 1);
  }
  t.equal(ledger.place(createSpec('after'), 2), undefined, 'but a resumed one does');
});

// Guards against hosts without a leader that together send more than a cold upstream sustains.
void tap.default.test(
  'hosts in fallback placement stay within their part of the rate',
  async (t) => {
    for (const hostCount of [20, 78, 350]) {
      const rng = xoroshiro.xoroshiro128plus(hostCount);
      const quotas = Array.from(
        { length: hostCount },
        (_, i) => new coldSendQuotas.ColdSendQuota(`host-${i}`, () => hostCount),
      );
      const upstreams = Array.from({ length: 12 }, (_, i) => `u-${i}`);
      const sentAt = new Map(upstreams.map((upstreamId) => [upstreamId, [] as number[]]));
      // Every host has a call for every upstream ten times a second: the backlog of calls for the
      // zone.
      for (let now = 0; now < 3_000; now += 100) {
        quotas.forEach((quota) => {
          upstreams.forEach((upstreamId) => {
            const at = now + ((rng.next() >>> 0) % 100);
            if (quota.canSend({ upstreamId, callsPerS: CALLS_PER_S }, at)) {
              quota.recordSend(upstreamId, at);
              sentAt.get(upstreamId)!.push(at);
            }
          });
        });
      }
      const most = [...sentAt.values()].map(countMostInSecond);
      t.ok(Math.max(...most) + LEADER_SENDS.most <= SUSTAINABLE, `${hostCount} hosts and a leader`);
      t.ok(Math.min(...most) >= 3, `${hostCount} hosts: none is left unused`);
    }
  },
);

// Guards against hundreds of restarted hosts that each use the share of a small fleet.
void tap.default.test(
  'hosts that do not know the number of hosts send nothing to cold upstreams',
  async (t) => {
    const quota = new coldSendQuotas.ColdSendQuota('host-1', () => undefined);
    t.notOk(quota.canSend({ upstreamId: 'u', callsPerS: 1_000 }, 0));
  },
);

// Guards against state that grows with every upstream that was ever cold.
void tap.default.test('a host drops sends outside the window', async (t) => {
  const quota = new coldSendQuotas.ColdSendQuota('host', () => 16);
  for (let i = 0; i < 100; i += 1) {
    quota.recordSend(`u-${i}`, i * 500);
  }
  t.ok(quota.size <= 3, `${quota.size} upstreams`);
});

// Guards against shares that are too large while a new leader has contact with only a few hosts.
void tap.default.test(
  'hosts with a low host count from a new leader take a small share',
  async (t) => {
    const quotas = Array.from(
      { length: 350 },
      (_, i) => new coldSendQuotas.ColdSendQuota(`host-${i}`, () => i + 1),
    );
    const senders = quotas.filter((quota) =>
      quota.canSend({ upstreamId: 'u', callsPerS: CALLS_PER_S }, 0),
    );
    t.ok(senders.length <= SUSTAINABLE, `${senders.length} of 350 send at once`);
  },
);
