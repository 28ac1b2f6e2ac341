import * as schemas from '@bramleyridge/schemas';

import * as reports from '../report.js';
import * as fits from './fit.js';
import * as rowsFile from './rows.js';
import type * as slopesFile from './slopes.js';

/** Assumed round trip between regions. */
const REGION_ROUND_TRIP_MS = 60;

/** Hops of a confirmed change: to the voters, the relay and the daemon. */
const HOPS = 3;

const SECONDS_PER_DAY = 86_400;

interface PolicyResults {
  readonly loads: readonly {
    readonly user: string;
    readonly load: number;
    readonly policy: string;
    readonly mean: Readonly<Record<string, number>>;
  }[];
}

const TIMINGS = schemas.daemonConfig.parse({
  daemonId: 'd',
  availabilityZone: 'a',
  callerPort: 0,
  peerPort: 0,
  keysFile: 'k',
  operators: [{ operator: 'o', sha256: '0'.repeat(64) }],
}).timings;

/** Lists a remedy for each row over budget, largest excess first. */
export function createRemedies(
  rowsOverBudget: readonly rowsFile.CapacityRow[],
  target: rowsFile.Sizes,
  budget: rowsFile.Budget,
): string[] {
  if (rowsOverBudget.length === 0) {
    return ['None.'];
  }
  const remedies = new Map<string, string>([
    [
      'pool owner/bytes/s',
      'split the engines of a pool among several owners, each with its own queue; grants are the larger ' +
        'part of the bytes, so the number of owners follows from them; fairness then holds within each part',
    ],
    [
      'pool owner/core share',
      'the same split; and reading only those engines that the placement names, not all of the zone',
    ],
    [
      'claim group member/bytes/s',
      'several claim groups, keys spread over them by hash, with every daemon holding a seat in one; and ' +
        'using the first round of the look-up as the first round of the claim',
    ],
    [
      'claim group member/memory MB',
      'the same several groups: the claims of each are a part of all',
    ],
    ['claim group member/core share', 'the same several groups'],
    [
      'leader (a voter)/bytes/s',
      'relays that report to the nearest voter, which passes on what changed; longer election timeouts',
    ],
    [
      'leader (a voter)/memory MB',
      'fewer answers kept for resends, shorter logs behind a snapshot',
    ],
    ['voter/core share', 'longer election timeouts'],
    ['voter/bytes/s', 'longer election timeouts'],
    ['leader (a voter)/core share', 'relays that report only what changed, and less often'],
    [
      'zone relay/bytes/s',
      'heartbeats every three or four seconds (a setting; changes are pushed at once all the same), later two levels of relays in a zone',
    ],
    [
      'zone relay/core share',
      'heartbeats every three or four seconds (a setting; changes are pushed at once all the same), later two levels of relays in a zone',
    ],
    ['caller-facing daemon/bytes/s', 'grants asked in batches, and shorter names on the wire'],
    ['caller-facing daemon/memory MB', 'smaller socket buffers for each stream'],
  ]);
  const byExcess = rowsOverBudget
    .map((row) => ({ row, times: row.value / (rowsFile.findLimit(row, budget) ?? Infinity) }))
    .sort((a, b) => b.times - a.times);
  const { claimsPerS, grantsPerPool } = rowsFile.derive(target);
  return [
    byExcess
      .map(({ row, times }, i) => {
        const remedy = remedies.get(`${row.role}/${row.what}`) ?? 'not yet worked out';
        return `${i + 1}. ${row.role}, ${row.what}: ${times.toFixed(1)} times the budget. Mend: ${remedy}.`;
      })
      .join('\n'),
    `For scale: ${claimsPerS.toFixed(0)} claims a second in the whole deployment, ` +
      `${grantsPerPool.toFixed(0)} grants a second in a pool.`,
  ];
}

/** Describes latency, configuration changes and failures at the target size. */
export function createOutcomes(
  target: rowsFile.Sizes,
  budget: rowsFile.Budget,
  slopes: slopesFile.Slopes,
  listBytes: number,
): string[] {
  return [
    '### Tokens in time',
    createTokenTable(budget),
    'From the replay; the engines there are stand-ins, so the figures say what the policy adds to an ' +
      'engine of that shape, not what a real one does.',
    '### Configuration',
    createConfigurationTable(target, budget, slopes),
    '### Failures and restarts of an ordinary day',
    createFailureTable(target, slopes, listBytes),
    '### A rack, a zone, a region gone',
    createLossTable(target),
  ];
}

function createTokenTable(budget: rowsFile.Budget): string {
  const policy = reports.findResults<PolicyResults>('policy');
  const own = (policy?.loads ?? []).filter((row) => row.policy === 'pool-owner');
  return reports.createTable(
    own.map((row) => {
      const first = (row.mean.firstP95Ms ?? 0) / 1_000;
      const gap = row.mean.gapP95Ms ?? 0;
      return {
        mix: row.user,
        load: row.load,
        'first token p95 s': first.toFixed(2),
        'aim s': budget.firstTokenS,
        'between tokens p95 ms': gap.toFixed(1),
        'aim ms': budget.msBetweenTokens,
        verdict:
          first <= budget.firstTokenS && gap <= budget.msBetweenTokens ? 'met' : '**missed**',
      };
    }),
  );
}

function createConfigurationTable(
  target: rowsFile.Sizes,
  budget: rowsFile.Budget,
  slopes: slopesFile.Slopes,
): string {
  const measured = fits.predict(slopes.inForceMs, target.daemons);
  const regions = HOPS * REGION_ROUND_TRIP_MS;
  const lost = slopes.leaderLossMs;
  const rows = [
    { what: 'links up', ms: measured + regions },
    { what: 'leader lost in between', ms: measured + regions + lost },
    {
      what: 'relay lost in between',
      ms: measured + regions + TIMINGS.peerDeadlineMs + TIMINGS.heartbeatMs,
    },
  ];
  return reports.createTable(
    rows.map((row) => ({
      case: row.what,
      'in force everywhere, s': `${(row.ms / 1_000).toFixed(1)} *`,
      'budget s': budget.inForceS,
      verdict: row.ms / 1_000 <= budget.inForceS ? 'within' : '**over**',
    })),
  );
}

function createFailureTable(
  target: rowsFile.Sizes,
  slopes: slopesFile.Slopes,
  listBytes: number,
): string {
  const { daemonsPerZone, livePerDaemon, pools } = rowsFile.derive(target);
  const events = 2 * (target.failuresPerDay + target.restartsPerDay);
  const bytesPerDay = (events / target.zones) * listBytes * daemonsPerZone;
  const poolsPerDaemon = pools / target.daemons;
  return reports.createTable([
    {
      event: `a host fails (${target.failuresPerDay} a day)`,
      cost:
        `${livePerDaemon.toFixed(0)} streams lose their connection and resume at another daemon; ` +
        `${poolsPerDaemon.toFixed(2)} pools move`,
      lasts: `${(TIMINGS.suspectMs / 1_000).toFixed(0)} s until pools move`,
      'callers see': 'a lost connection, then the rest of the same generation',
    },
    {
      event: `a restart (${target.restartsPerDay} a day)`,
      cost: 'nothing is cut; the daemon leaves, finishes, comes back',
      lasts: `${(slopes.backlogMs / 1_000).toFixed(1)} s from start to in force, 500 changes behind`,
      'callers see': 'nothing',
    },
    {
      event: 'lists after both, each relay',
      cost: `${(bytesPerDay / SECONDS_PER_DAY).toFixed(0)} bytes/s on average, ${(listBytes * daemonsPerZone).toFixed(0)} bytes for each change`,
      lasts: 'one heartbeat',
      'callers see': 'nothing',
    },
    {
      event: 'the leader fails',
      cost: 'no plans or orders meanwhile',
      lasts: `${(slopes.leaderLossMs / 1_000).toFixed(1)} s, measured with 40 daemons`,
      'callers see': 'nothing',
    },
  ]);
}

function createLossTable(target: rowsFile.Sizes): string {
  const { daemonsPerZone } = rowsFile.derive(target);
  const share = (lost: number) => `${((100 * lost) / (target.zones - lost)).toFixed(0)}%`;
  return reports.createTable([
    {
      lost: 'a rack or switch',
      'goes on': 'everything; streams of its hosts resume elsewhere in the zone',
      'refused or lost': 'generations on its engines end as incomplete with their count',
      'comes back on its own': 'hosts as they start; pools after suspicion',
      'room to keep free': `the rack’s share of its zone`,
    },
    {
      lost: 'a zone',
      'goes on': `the other ${target.zones - 1} zones; voters and claim seats are spread over zones`,
      'refused or lost':
        'teams permitted only there; its running generations; if it is cut off and not dead, keyed calls inside',
      'comes back on its own': `${daemonsPerZone.toFixed(0)} daemons take the newest revision on their first heartbeat`,
      'room to keep free': `${share(1)} in each other zone, for teams that may move`,
    },
    {
      lost: 'the link between regions',
      'goes on': 'all generations and plain calls in both',
      'refused or lost':
        'plans and keyed calls in the region without the majority of voters and seats, as not-run',
      'comes back on its own': 'both, with the first heartbeat after the heal',
      'room to keep free': 'none',
    },
    {
      lost: 'a region',
      'goes on': 'the other one; with the minority of voters it serves on its last revision',
      'refused or lost': 'teams permitted only there; with the minority: plans and keyed calls',
      'comes back on its own': 'as a zone does; lost voters’ disks are added by an operator',
      'room to keep free': `${share(target.zones / 2)} in each other zone, for teams that may move`,
    },
  ]);
}
