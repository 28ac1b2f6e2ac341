import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as tap from 'tap';

import * as entryListReaders from '../src/entry-list-reader.js';
import * as upstreamListReaders from '../src/upstream-list-reader.js';
import type * as ports from '../src/ports.js';
import * as upstreamDirectories from '../src/upstream-directory.js';
import * as listedUpstreams from './support/create-listed-upstream.js';

/**
 * The platform: the calls per second that it answers, the pages of its list, and the milliseconds that a page takes.
 */
const CALLS_PER_S = 50;
const PAGES = 61;
const PAGE_MS = 4;

/** Time from the start of all hosts until the core hosts have a leader, in milliseconds. */
const ELECTED_MS = 1_500;

const LOG = new schemas.SilentLog();

/** A platform that refuses calls beyond its rate limit, which applies to all callers together. */
class PagedList implements ports.UpstreamSource {
  public refused = 0;
  private calls: number[] = [];

  public constructor(
    private readonly clock: schemas.VirtualClock,
    private readonly pages = PAGES,
  ) {}

  public async list(
    _address: string,
    _signal: AbortSignal,
    reading?: ports.ListReadMonitor,
  ): Promise<ports.ListReadResult> {
    for (let page = 0; page < this.pages; page += 1) {
      await this.clock.sleep(PAGE_MS);
      if (!this.isAllowed()) {
        this.refused += 1;
        if ((await reading?.awaitRetryAllowed()) !== true) {
          throw new Error('too many calls');
        }
        page -= 1;
      }
    }
    return {
      upstreams: [listedUpstreams.createListedUpstream('e1')],
      calls: this.pages,
      unreadable: 0,
    };
  }

  private isAllowed(): boolean {
    const now = this.clock.now();
    this.calls = this.calls.filter((at) => now - at < 1_000);
    if (this.calls.length >= CALLS_PER_S) {
      return false;
    }
    this.calls.push(now);
    return true;
  }
}

/**
 * Starts all hosts at once; returns when the leader has read the list, and the number of calls that the platform
 * refused.
 */
async function startAll(entryHosts: number) {
  const clock = new schemas.VirtualClock();
  const rng = xoroshiro.xoroshiro128plus(entryHosts);
  const random = () => (rng.next() >>> 0) / 2 ** 32;
  const source = new PagedList(clock);
  const settings = { listAddress: '127.0.0.1:1', listCallsPerS: CALLS_PER_S };
  let readAt: number | undefined;
  const leader = new upstreamListReaders.UpstreamListReader({
    source,
    clock,
    log: LOG,
    random,
    backsOff: false,
    getAddress: () => settings.listAddress,
    getCallsPerS: () => CALLS_PER_S,
    isActive: () => clock.now() >= ELECTED_MS,
    getPauseMs: () => 300,
    idlePauseMs: 20,
    onList: () => {
      readAt ??= clock.now();
    },
  });
  const readers = Array.from({ length: entryHosts }, () =>
    entryListReaders.createEntryListReader({
      source,
      directory: new upstreamDirectories.UpstreamDirectory(clock, LOG),
      clock,
      log: LOG,
      random,
      getSettings: () => settings,
      reachesLeader: () => clock.now() > ELECTED_MS + 500,
      countEntryHosts: () => 16,
      getPeriodMs: () => 0,
    }),
  );
  [leader, ...readers].forEach((reader) => {
    void reader.run();
  });
  for (let at = 0; at < 30_000 && readAt === undefined; at += 100) {
    await clock.advance(100);
  }
  [leader, ...readers].forEach((reader) => reader.stop());
  await clock.advance(60_000);
  return { readAt, refused: source.refused };
}

// Guards against hundreds of hosts that read the list when they start, so that the leader never gets to its last page.
void tap.default.test('300 hosts that start at once leave reading to the leader', async (t) => {
  const { readAt = Infinity } = await startAll(300);
  t.ok(readAt < ELECTED_MS + 3_000, `read after ${readAt - ELECTED_MS} ms`);
});

// Guards against a leader that starts a long list again at each refused page.
void tap.default.test('a list with more pages than calls per second is read', async (t) => {
  const { readAt = Infinity, refused } = await startAll(0);
  t.ok(readAt < ELECTED_MS + 3_000, `read after ${readAt - ELECTED_MS} ms`);
  t.ok(refused < PAGES, `${refused} calls refused`);
});

// Guards against a host without a leader that never gets a list of upstreams.
void tap.default.test('a host that reaches no leader reads the list itself', async (t) => {
  const clock = new schemas.VirtualClock();
  const directory = new upstreamDirectories.UpstreamDirectory(clock, LOG);
  const reader = entryListReaders.createEntryListReader({
    source: new PagedList(clock, 1),
    directory,
    clock,
    log: LOG,
    random: () => 0,
    getSettings: () => ({ listAddress: '127.0.0.1:1', listCallsPerS: CALLS_PER_S }),
    reachesLeader: () => false,
    countEntryHosts: () => 16,
    getPeriodMs: () => 0,
  });
  void reader.run();
  await clock.advance(2_900);
  t.notOk(directory.hasList(), 'not at once');
  await clock.advance(1_500);
  t.ok(directory.hasList(), 'but soon');
  reader.stop();
  await clock.advance(10_000);
});
