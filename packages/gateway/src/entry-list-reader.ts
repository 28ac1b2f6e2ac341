import type * as schemas from '@bramleyridge/schemas';

import * as listReaders from './upstream-list-reader.js';
import type * as ports from './ports.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** The share of the allowed calls to the list that all entry hosts together use when they read it themselves. */
const LIST_SHARE = 0.4;

/**
 * How long a host that has just started leaves the reading to the leader, in milliseconds, and as long again at most. After
 * a loss of power hundreds of hosts start at once, and their calls would keep the leader from reading for all of them.
 */
const START_MS = 3_000;

/** How long it does so where it reaches a leader, in milliseconds; that one may be cut off from the platform. */
const LEADER_MS = 12_000;

/** What reading the list on an entry host needs. */
export interface EntryListReaderOptions {
  readonly source: ports.UpstreamSource;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
  readonly getSettings: () => { readonly listAddress: string; readonly listCallsPerS: number };
  readonly reachesLeader: () => boolean;
  readonly countEntryHosts: () => number;
  /** The pause between two readings by the leader, in milliseconds. */
  readonly getPeriodMs: () => number;
}

/** Reads the list on an entry host, as long as no leader hands it on. */
export function createEntryListReader(
  options: EntryListReaderOptions,
): listReaders.UpstreamListReader {
  const { clock, directory, getSettings, random, reachesLeader } = options;
  const startedAt = clock.now();
  const startMs = START_MS * (1 + random());
  const isDueFirst = () => {
    const ranMs = clock.now() - startedAt;
    return ranMs > (reachesLeader() ? LEADER_MS : startMs);
  };
  const getPauseMs = (calls: number) => {
    const ownCallsPerS = (getSettings().listCallsPerS * LIST_SHARE) / options.countEntryHosts();
    return Math.max(listReaders.STALE_MS / 4, (calls * 1_000) / ownCallsPerS);
  };
  return new listReaders.UpstreamListReader({
    source: options.source,
    clock,
    log: options.log,
    random,
    backsOff: true,
    getAddress: () => getSettings().listAddress,
    getCallsPerS: () => getSettings().listCallsPerS,
    isActive: () =>
      directory.hasList()
        ? directory.getAgeMs() > listReaders.getStaleMs(options.getPeriodMs())
        : isDueFirst(),
    getPauseMs,
    onList: (list) => directory.applyList(list, 0),
  });
}
