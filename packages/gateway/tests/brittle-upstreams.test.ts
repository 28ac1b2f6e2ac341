import * as tap from 'tap';

import * as brittleUpstreams from './support/brittle-upstream.js';
import * as callLoads from './support/call-load.js';
import * as smallSites from './support/small-site.js';

/** Number of entry hosts and of upstreams. */
const HOSTS = 5;
const UPSTREAMS = 5;

/** Calls a second that all upstreams together can answer. */
const ROOM_PER_S = 200;

/** Time before the queues become short, and after it, in milliseconds. */
const GRACE_MS = 3_000;
const PLAYED_MS = 9_000;

/** Falls that are allowed: two and a tenth of the number of upstreams. */
const MAX_FALLS = 2;

interface Case {
  readonly name: string;
  readonly rejectionsPerS: number;
  readonly callsPerS: number;
  readonly isLeaderLost: boolean;
  /** Share of the room that is to be used, or of the calls if they are fewer. */
  readonly minServed: number;
}

const CASES: readonly Case[] = [
  {
    name: 'two rejections, calls for six tenths of the room',
    rejectionsPerS: 2,
    callsPerS: 120,
    isLeaderLost: false,
    minServed: 0.8,
  },
  {
    name: 'two rejections, calls for twice the room',
    rejectionsPerS: 2,
    callsPerS: 400,
    isLeaderLost: false,
    minServed: 0.5,
  },
  {
    name: 'five rejections, calls for twice the room, the core hosts are lost',
    rejectionsPerS: 5,
    callsPerS: 400,
    isLeaderLost: true,
    minServed: 0.5,
  },
];

// Guards against upstreams that end since hosts together make them turn away more calls than they bear.
for (const { callsPerS, isLeaderLost, minServed, name, rejectionsPerS } of CASES) {
  void tap.default.test(`brittle upstreams stay up: ${name}`, async (t) => {
    const site = new smallSites.SmallSite(t);
    await site.start(3);
    for (let i = 1; i < HOSTS; i += 1) {
      await site.addEntry();
    }
    const upstreams = Array.from(
      { length: UPSTREAMS },
      () =>
        new brittleUpstreams.BrittleUpstream({
          slots: 2,
          serviceMs: 50,
          queue: 4,
          shortQueue: 1,
          rejectionsPerS,
          downMs: 3_000,
        }),
    );
    for (const [i, upstream] of upstreams.entries()) {
      await site.addUpstream(`app-${i}`, 'app', (req, res) => upstream.answer(req, res));
    }
    site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, slots: 2 }));
    await site.declare({});
    const load = new callLoads.CallLoad(site, { callsPerS, patienceMs: 1_000 });
    await load.awaitServing();
    await site.until('relays known', () => site.entry.countRelays() > 0);
    const end = load.begin();
    if (isLeaderLost) {
      await load.sleep(1_000);
      [1, 2, 3].forEach((i) => site.stopCore(`127.0.1.${i}`));
    }
    await load.sleep(GRACE_MS);
    upstreams.forEach((upstream) => (upstream.hasShortQueue = true));
    load.clear();
    await load.sleep(PLAYED_MS);
    const calls = load.list();
    await end();
    const { served } = callLoads.countServed(calls);
    const falls = upstreams.reduce((sum, upstream) => sum + upstream.falls, 0);
    const rejected = upstreams.reduce((sum, upstream) => sum + upstream.rejected, 0);
    const offered = Math.min(calls.length, (ROOM_PER_S * PLAYED_MS) / 1_000);
    t.ok(falls <= MAX_FALLS, `falls: ${falls}, of ${rejected} rejections`);
    t.ok(served >= offered * minServed, `served: ${served} of ${calls.length}, room ${offered}`);
    const other = calls.filter(({ status }) => status !== 200 && status !== 503).length;
    t.ok(other <= calls.length * 0.02, `neither served nor refused: ${other}`);
    const late = calls.filter(({ status, tookMs }) => status === 503 && tookMs > 700).length;
    t.ok(late <= calls.length * 0.02, `refused late: ${late}`);
  });
}
