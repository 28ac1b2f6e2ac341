import type * as schemas from '@bramleyridge/schemas';

import * as upstreamListReaders from './upstream-list-reader.js';
import type * as ports from './ports.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** Share of the platform's call limit that all entry hosts together use when they read the list themselves. */
const ENTRY_HOSTS_CALL_SHARE = 0.4;

/**
 * Minimum time after its start for which a host without a leader does not read the list itself, in milliseconds; a
 * random time of up to the same length is added. After a power failure hundreds of hosts start at once, and their calls would keep the
 * leader from reading the list for all of them.
 */
const START_DELAY_MS = 3_000;

/**
 * Time after its start for which a host that reaches a leader waits for the list from it, in milliseconds. The wait is
 * limited, because the leader itself may not reach the platform.
 */
const LEADER_START_DELAY_MS = 12_000;

/** Dependencies of the list reader on an entry host. */
export interface EntryListReaderOptions {
  readonly source: ports.UpstreamSource;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  readonly getSettings: () => { readonly listAddress: string; readonly listCallsPerS: number };
  readonly reachesLeader: () => boolean;
  readonly countEntryHosts: () => number;
  /** Returns the pause between two reads by the leader, in milliseconds. */
  readonly getPeriodMs: () => number;
}

/** Creates a reader that reads the list on an entry host while no leader distributes it. */
export function createEntryListReader(
  options: EntryListReaderOptions,
): upstreamListReaders.UpstreamListReader {
  const { clock, directory, getSettings, random, reachesLeader } = options;
  const startedAt = clock.now();
  const startDelayMs = START_DELAY_MS * (1 + random());
  const isFirstReadDue = () => {
    const uptimeMs = clock.now() - startedAt;
    return uptimeMs > (reachesLeader() ? LEADER_START_DELAY_MS : startDelayMs);
  };
  const getPauseMs = (calls: number) => {
    const ownCallsPerS =
      (getSettings().listCallsPerS * ENTRY_HOSTS_CALL_SHARE) / options.countEntryHosts();
    return Math.max(upstreamListReaders.STALE_MS / 4, (calls * 1_000) / ownCallsPerS);
  };
  return new upstreamListReaders.UpstreamListReader({
    source: options.source,
    clock,
    log: options.log,
    random,
    backsOff: true,
    getAddress: () => getSettings().listAddress,
    getCallsPerS: () => getSettings().listCallsPerS,
    isActive: () =>
      directory.hasList()
        ? directory.getAgeMs() > upstreamListReaders.getStaleMs(options.getPeriodMs())
        : isFirstReadDue(),
    getPauseMs,
    onList: (list) => directory.applyList(list, 0),
  });
}
