import * as fits from './fit.js';
import type * as slopesFile from './slopes.js';

/** The sizes of a deployment. */
export interface Sizes {
  readonly daemons: number;
  readonly zones: number;
  readonly voters: number;
  readonly claimSeats: number;
  readonly runners: number;
  readonly models: number;
  readonly teams: number;
  readonly intents: number;
  readonly requestsPerS: number;
  readonly tokensPerS: number;
  readonly msBetweenTokens: number;
  readonly changesPerDay: number;
  readonly failuresPerDay: number;
  readonly restartsPerDay: number;
  readonly keyedShare: number;
  readonly claimsKeptS: number;
}

/** Limits against which rows are checked. */
export interface Budget {
  readonly coreShare: number;
  readonly memoryMb: number;
  readonly bytesPerS: number;
  readonly hostsSetAside: number;
  readonly inForceS: number;
  readonly firstTokenS: number;
  readonly msBetweenTokens: number;
}

/** One figure of one role. */
export interface CapacityRow {
  readonly role: string;
  readonly what: 'core share' | 'memory MB' | 'bytes/s' | 'messages/s';
  readonly formula: string;
  readonly command: string;
  readonly mechanism: string;
  /** True for control work, which counts against the budget of a daemon; data is work that callers request. */
  readonly isControl: boolean;
  readonly value: number;
  readonly isExtrapolated: boolean;
}

interface Derived {
  readonly daemonsPerZone: number;
  readonly pools: number;
  readonly enginesPerPool: number;
  readonly livePerPool: number;
  readonly livePerDaemon: number;
  readonly grantsPerPool: number;
  readonly grantsPerDaemon: number;
  readonly claimsPerS: number;
}

/** Rates at which a pool owner reads the load reports of its own engines and of the zone's other ones. */
const READS_PER_POOL_ENGINE_PER_S = 2;
const READS_PER_OTHER_ENGINE_PER_S = 0.5;

/** Rate at which daemons report progress to pool owners. */
const PROGRESS_PER_S = 0.5;

/** Returns the limit for a row; undefined when there is none. */
export function findLimit(row: CapacityRow, budget: Budget): number | undefined {
  const limits = {
    'core share': row.isControl ? budget.coreShare : 1,
    'memory MB': budget.memoryMb,
    'bytes/s': budget.bytesPerS,
    'messages/s': undefined,
  };
  return limits[row.what];
}

/** Derives figures per zone, pool and daemon from the sizes. */
export function derive(sizes: Sizes): Derived {
  const pools = sizes.models * sizes.zones;
  const live = (sizes.tokensPerS * sizes.msBetweenTokens) / 1_000;
  return {
    daemonsPerZone: sizes.daemons / sizes.zones,
    pools,
    enginesPerPool: sizes.runners / pools,
    livePerPool: live / pools,
    livePerDaemon: live / sizes.daemons,
    grantsPerPool: sizes.requestsPerS / pools,
    grantsPerDaemon: sizes.requestsPerS / sizes.daemons,
    claimsPerS: sizes.requestsPerS * sizes.keyedShare,
  };
}

/** Creates every row of the page for the given sizes. */
export function createRows(slopes: slopesFile.Slopes, sizes: Sizes): CapacityRow[] {
  return [
    ...createDaemonRows(slopes, sizes),
    ...createOwnerRows(slopes, sizes),
    ...createClaimRows(slopes, sizes),
    ...createRelayRows(slopes, sizes),
    ...createVoterRows(slopes, sizes),
    ...createLeaderRows(slopes, sizes),
    ...createReportReaderRows(slopes, sizes),
  ];
}

function getBytes(slopes: slopesFile.Slopes, message: string): number {
  const bytes = slopes.bytes.get(message);
  if (bytes === undefined) {
    throw new Error(`no measured size of the message: ${message}`);
  }
  return bytes;
}

/** Returns the bytes of one grant: its request, the response, the report of its end and the response to that. */
function getGrantBytes(slopes: slopesFile.Slopes): number {
  const messages = ['grant asked', 'grant answered', 'end of a generation', 'progress answered'];
  return messages.reduce((sum, message) => sum + getBytes(slopes, message), 0);
}

function createDaemonRows(slopes: slopesFile.Slopes, sizes: Sizes): CapacityRow[] {
  const { grantsPerDaemon, livePerDaemon } = derive(sizes);
  const tokens = sizes.tokensPerS / sizes.daemons;
  const items = sizes.teams + sizes.intents;
  const role = 'caller-facing daemon';
  const perModel = Math.min(sizes.models, livePerDaemon);
  const one = getBytes(slopes, 'progress of 1 generation');
  const ten = getBytes(slopes, 'progress of 10 generations');
  const perGeneration = (ten - one) / 9;
  const progress =
    PROGRESS_PER_S *
    (perModel * (one - perGeneration + getBytes(slopes, 'progress answered')) +
      livePerDaemon * perGeneration);
  const grants = grantsPerDaemon * getGrantBytes(slopes);
  return [
    {
      role,
      what: 'core share',
      formula: 'tokens/s and daemon × slope',
      command: 'relay',
      mechanism: 'relay of bytes at event borders',
      isControl: false,
      value: fits.predict(slopes.relayCpu, tokens),
      isExtrapolated: fits.isExtrapolated(slopes.relayCpu, tokens),
    },
    {
      role,
      what: 'memory MB',
      formula: 'base + streams × slope + items declared × slope',
      command: 'relay, control',
      mechanism: 'one chunk and the socket buffer for each stream',
      isControl: true,
      value:
        fits.predict(slopes.relayMemory, livePerDaemon) + slopes.declaredMemory.perUnit * items,
      isExtrapolated:
        fits.isExtrapolated(slopes.relayMemory, livePerDaemon) ||
        fits.isExtrapolated(slopes.declaredMemory, items),
    },
    {
      role,
      what: 'core share',
      formula: 'idle, heartbeats only',
      command: 'control',
      mechanism: 'one heartbeat every two seconds to the relay',
      isControl: true,
      value: fits.predict(slopes.daemonCpu, sizes.daemons),
      isExtrapolated: fits.isExtrapolated(slopes.daemonCpu, sizes.daemons),
    },
    {
      role,
      what: 'bytes/s',
      formula: 'heartbeats + grants/s × bytes + 0.5/s × (models × head + live × entry)',
      command: 'control, grants',
      mechanism: 'heartbeats; grants; progress in batches',
      isControl: true,
      value: fits.predict(slopes.daemonBytes, sizes.daemons) + grants + progress,
      isExtrapolated: fits.isExtrapolated(slopes.daemonBytes, sizes.daemons),
    },
  ];
}

function createOwnerRows(slopes: slopesFile.Slopes, sizes: Sizes): CapacityRow[] {
  const { daemonsPerZone, enginesPerPool, grantsPerPool, livePerPool } = derive(sizes);
  const role = 'pool owner';
  const perGrant = fits.predict(slopes.grantUs, enginesPerPool) / 1e6;
  const others = sizes.runners / sizes.zones - enginesPerPool;
  const reads =
    READS_PER_POOL_ENGINE_PER_S * enginesPerPool + READS_PER_OTHER_ENGINE_PER_S * others;
  const one = getBytes(slopes, 'progress of 1 generation');
  const perGeneration = (getBytes(slopes, 'progress of 10 generations') - one) / 9;
  const senders = Math.min(daemonsPerZone, livePerPool);
  const messages = 4 * grantsPerPool + 2 * PROGRESS_PER_S * senders;
  const bytes =
    grantsPerPool * getGrantBytes(slopes) +
    PROGRESS_PER_S *
      (senders * (one - perGeneration + getBytes(slopes, 'progress answered')) +
        livePerPool * perGeneration);
  const isExtrapolated =
    fits.isExtrapolated(slopes.grantUs, enginesPerPool) ||
    fits.isExtrapolated(slopes.accountCpu, livePerPool);
  return [
    {
      role,
      what: 'core share',
      formula: 'grants/s × µs + looks at the account + reports read × µs',
      command: 'grants',
      mechanism: 'forecast kept for each engine; a grant looks at 18 moments of each',
      isControl: true,
      value:
        grantsPerPool * perGrant +
        fits.predict(slopes.accountCpu, livePerPool) +
        reads * slopes.watchCpuS.perUnit,
      isExtrapolated,
    },
    {
      role,
      what: 'messages/s',
      formula: '4 × grants + daemons of the zone',
      command: 'arithmetic',
      mechanism: 'progress in batches, every 2 s and daemon',
      isControl: true,
      value: messages,
      isExtrapolated: false,
    },
    {
      role,
      what: 'bytes/s',
      formula: 'grants × bytes + 0.5/s × (daemons × head + live × entry)',
      command: 'grants',
      mechanism: 'msgpack frames; calls by number',
      isControl: true,
      value: bytes,
      isExtrapolated: false,
    },
  ];
}

function createClaimRows(slopes: slopesFile.Slopes, sizes: Sizes): CapacityRow[] {
  const { claimsPerS } = derive(sizes);
  const kept = claimsPerS * sizes.claimsKeptS;
  const role = 'claim group member';
  return [
    {
      role,
      what: 'core share',
      formula: 'claims/s × (µs + two messages in and out)',
      command: 'grants',
      mechanism: 'write-once register: a look-up and two rounds',
      isControl: true,
      value: (claimsPerS * fits.predict(slopes.claimUs, kept)) / 1e6,
      isExtrapolated: fits.isExtrapolated(slopes.claimUs, kept),
    },
    {
      role,
      what: 'memory MB',
      formula: 'claims/s × time kept × slope',
      command: 'grants',
      mechanism: 'claims in memory, forgotten after an hour',
      isControl: true,
      value: fits.predict(slopes.claimMemory, kept),
      isExtrapolated: fits.isExtrapolated(slopes.claimMemory, kept),
    },
    {
      role,
      what: 'bytes/s',
      formula: 'claims/s × 6 × bytes of a claim message',
      command: 'grants',
      mechanism: 'one group for the whole deployment',
      isControl: true,
      value: claimsPerS * 6 * getBytes(slopes, 'claim asked'),
      isExtrapolated: false,
    },
  ];
}

function createRelayRows(slopes: slopesFile.Slopes, sizes: Sizes): CapacityRow[] {
  const { daemonsPerZone } = derive(sizes);
  const role = 'zone relay';
  const common = { role, command: 'control', isControl: true };
  return [
    {
      ...common,
      what: 'core share',
      formula: 'base + daemons of the zone × slope',
      mechanism: 'one heartbeat every two seconds and daemon, held open until there is news',
      value: fits.predict(slopes.zoneRelayCpu, daemonsPerZone),
      isExtrapolated: fits.isExtrapolated(slopes.zoneRelayCpu, daemonsPerZone),
    },
    {
      ...common,
      what: 'bytes/s',
      formula: 'base + daemons of the zone × slope',
      mechanism: 'only what changed is sent',
      value: fits.predict(slopes.zoneRelayBytes, daemonsPerZone),
      isExtrapolated: fits.isExtrapolated(slopes.zoneRelayBytes, daemonsPerZone),
    },
  ];
}

function createVoterRows(slopes: slopesFile.Slopes, sizes: Sizes): CapacityRow[] {
  const common = {
    role: 'voter',
    command: 'control',
    isControl: true,
    formula: 'base + daemons × slope',
  };
  return [
    {
      ...common,
      what: 'core share',
      mechanism: 'answers three heartbeats of the log a second; syncs before it promises',
      value: fits.predict(slopes.voterCpu, sizes.daemons),
      isExtrapolated: fits.isExtrapolated(slopes.voterCpu, sizes.daemons),
    },
    {
      ...common,
      what: 'bytes/s',
      mechanism: 'heartbeats of the log and its own to the relay',
      value: fits.predict(slopes.voterBytes, sizes.daemons),
      isExtrapolated: fits.isExtrapolated(slopes.voterBytes, sizes.daemons),
    },
  ];
}

/** The read of the platform's list once per second counts as one more load report. */
function createReportReaderRows(slopes: slopesFile.Slopes, sizes: Sizes): CapacityRow[] {
  const { enginesPerPool } = derive(sizes);
  const others = sizes.runners / sizes.zones - enginesPerPool;
  const reads =
    READS_PER_POOL_ENGINE_PER_S * enginesPerPool + READS_PER_OTHER_ENGINE_PER_S * others + 1;
  const common = { role: 'watcher of upstreams and of the list', isControl: true };
  return [
    {
      ...common,
      what: 'messages/s',
      formula: '2 × (2 × engines of the pool + 0.5 × the zone’s others + 1)',
      command: 'arithmetic',
      mechanism: 'a pool’s owner reads its engines; a zone’s relay reads the list',
      value: 2 * reads,
      isExtrapolated: false,
    },
    {
      ...common,
      what: 'core share',
      formula: 'answers read/s × µs',
      command: 'grants',
      mechanism: 'kept connections, one answer each',
      value: reads * slopes.watchCpuS.perUnit,
      isExtrapolated: false,
    },
  ];
}

function createLeaderRows(slopes: slopesFile.Slopes, sizes: Sizes): CapacityRow[] {
  const role = 'leader (a voter)';
  const engineReadsCpu = (sizes.runners / 10) * slopes.watchCpuS.perUnit;
  const common = { role, command: 'control, grants', isControl: true };
  return [
    {
      ...common,
      what: 'core share',
      formula: 'base + daemons × slope + runners looked at every 10 s × µs',
      mechanism: 'relays report for their zones; log heartbeats to the voters',
      value: fits.predict(slopes.leaderCpu, sizes.daemons) + engineReadsCpu,
      isExtrapolated: fits.isExtrapolated(slopes.leaderCpu, sizes.daemons),
    },
    {
      ...common,
      what: 'memory MB',
      formula: 'base + daemons × slope + items declared × slope',
      mechanism: 'the log behind the last snapshot, plans, answers kept for resends',
      value:
        fits.predict(slopes.leaderMemory, sizes.daemons) +
        slopes.declaredMemory.perUnit * (sizes.teams + sizes.intents),
      isExtrapolated: fits.isExtrapolated(slopes.leaderMemory, sizes.daemons),
    },
    {
      ...common,
      what: 'bytes/s',
      formula: 'base + daemons × slope',
      mechanism: 'log heartbeats three times an election timeout to each voter',
      value: fits.predict(slopes.leaderBytes, sizes.daemons),
      isExtrapolated: fits.isExtrapolated(slopes.leaderBytes, sizes.daemons),
    },
  ];
}
