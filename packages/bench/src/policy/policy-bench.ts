import * as plots from '../plot.js';
import * as reports from '../report.js';
import * as pools from '../worker-pool.js';
import type * as measures from './measures.js';
import type * as workers from './policy-worker.js';
import type * as replays from './replay.js';
import * as traces from './trace.js';

const SEEDS = [1, 2, 3, 4, 5];
const LOADS = [0.7, 0.9, 1, 1.3];
const RISKS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5];
const ENGINES = 4;
const DURATION_S = 400;
const WARMUP_S = 100;

/** Load of the capacity measurement relative to the base rate, far more than four engines can serve. */
const OVERLOAD_FACTOR = 2;

/** Base rate of the capacity measurement in requests per second, by user. */
const OVERLOAD_BASE_RATES: Readonly<Record<string, number>> = { kalahari: 18, 'exit-survey': 8 };

/** Default overflow risks by user, chosen from the curve over `RISKS`. */
export const DEFAULT_RISKS: Readonly<Record<string, number>> = {
  kalahari: 0.1,
  'exit-survey': 0.05,
};

const FAULTS: readonly replays.ReplayFault[] = [
  'none',
  'engine-dies',
  'owner-dies',
  'late-reports',
  'cache-gaps',
  'mix-shifts',
];

/** Means over the replays of one combination of user, load, fault and policy. */
export type MeanMeasurements = Record<keyof measures.ReplayMeasurements, number>;

interface Row {
  readonly user: string;
  readonly load: number;
  readonly fault: string;
  readonly policy: string;
  readonly mean: MeanMeasurements;
}

const program = new URL('./policy-worker.js', import.meta.url);

function listPolicies(user: string): replays.ReplayPolicy[] {
  const baselines = ['round-robin', 'least-outstanding', 'least-memory', 'two-choices'];
  return [
    ...baselines.map((name) => ({ name, baseline: name, sendsClass: false })),
    ...['least-memory', 'two-choices'].map((baseline) => ({
      name: `${baseline}+class`,
      baseline,
      sendsClass: true,
    })),
    { name: 'pool-owner', overflowRisk: DEFAULT_RISKS[user] ?? 0.05, sendsClass: true },
    { name: 'oracle', overflowRisk: 0.5, isOracle: true, sendsClass: true },
  ];
}

function average(list: readonly measures.ReplayMeasurements[]): MeanMeasurements {
  const keys = Object.keys(list[0] ?? {}) as (keyof measures.ReplayMeasurements)[];
  const entries = keys.map((key) => {
    const sum = list.reduce((total, item) => total + item[key], 0);
    return [key, Number((sum / list.length).toPrecision(5))];
  });
  return Object.fromEntries(entries) as MeanMeasurements;
}

interface Plan {
  readonly user: string;
  readonly load: number;
  readonly fault: replays.ReplayFault;
  readonly policy: replays.ReplayPolicy;
}

async function runPlans(
  plans: readonly Plan[],
  capacities: ReadonlyMap<string, number>,
): Promise<Row[]> {
  const jobs: workers.PolicyJob[] = plans.flatMap((plan) =>
    SEEDS.map((seed) => ({
      ...plan,
      rate: plan.load * (capacities.get(plan.user) ?? 1),
      seed,
      engines: ENGINES,
      durationS: DURATION_S,
      warmupS: WARMUP_S,
    })),
  );
  const results = await pools.runJobs<workers.PolicyJob, measures.ReplayMeasurements>(
    program,
    jobs,
  );
  return plans.map((plan, i) => ({
    user: plan.user,
    load: plan.load,
    fault: plan.fault,
    policy: plan.policy.name,
    mean: average(results.slice(i * SEEDS.length, (i + 1) * SEEDS.length)),
  }));
}

/** Measures the capacity of each mix: the requests per second that the oracle policy serves under overload. */
async function findCapacities(): Promise<Map<string, number>> {
  const oracle = { name: 'oracle', overflowRisk: 0.5, isOracle: true, sendsClass: true };
  const jobs = traces.MIXES.flatMap(({ user }) =>
    SEEDS.map((seed) => ({
      user,
      rate: OVERLOAD_FACTOR * (OVERLOAD_BASE_RATES[user] ?? 10),
      seed,
      engines: ENGINES,
      durationS: DURATION_S,
      warmupS: WARMUP_S,
      fault: 'none' as const,
      policy: oracle,
    })),
  );
  const results = await pools.runJobs<workers.PolicyJob, measures.ReplayMeasurements>(
    program,
    jobs,
  );
  return new Map(
    traces.MIXES.map((mix, i) => {
      const own = results.slice(i * SEEDS.length, (i + 1) * SEEDS.length);
      const goodput = own.reduce((sum, item) => sum + item.goodputPerS, 0) / own.length;
      const sample = traces.createTrace(mix, 1, 20_000);
      const tokens = sample.reduce((sum, line) => sum + line.outputTokens, 0) / sample.length;
      return [mix.user, Number((goodput / tokens).toFixed(2))];
    }),
  );
}

function printRows(title: string, rows: readonly Row[]): string {
  const table = rows.map(({ load, policy, fault, mean }) => ({
    load,
    fault,
    policy,
    'preempt/1000': mean.preemptionsPer1000.toFixed(1),
    'stall mean ms': mean.stallMeanMs.toFixed(0),
    'stall p99 ms': mean.stallP99Ms.toFixed(0),
    'gap p50': mean.gapP50Ms.toFixed(1),
    'gap p95': mean.gapP95Ms.toFixed(1),
    'gap p99': mean.gapP99Ms.toFixed(1),
    'gap p99.9': mean.gapP999Ms.toFixed(1),
    'first p50 ms': mean.firstP50Ms.toFixed(0),
    'first p95 ms': mean.firstP95Ms.toFixed(0),
    'short p50 ms': mean.shortP50Ms.toFixed(0),
    'short p99 ms': mean.shortP99Ms.toFixed(0),
    'long mean s': (mean.longMeanMs / 1_000).toFixed(1),
    'goodput/s': mean.goodputPerS.toFixed(0),
    fairness: mean.fairness.toFixed(3),
    refused: mean.refused.toFixed(0),
    broken: mean.broken.toFixed(1),
  }));
  return reports.createSection(title, table);
}

interface Results {
  readonly capacities: Record<string, number>;
  readonly loads: readonly Row[];
  readonly risks: readonly Row[];
  readonly faults: readonly Row[];
}

function writeReport(results: Results): void {
  const sections = traces.MIXES.flatMap(({ user }) => {
    const own = (rows: readonly Row[]) => rows.filter((row) => row.user === user);
    return [
      printRows(`${user}: load, mean of ${SEEDS.length} seeds`, own(results.loads)),
      printRows(`${user}: the dial overflowRisk`, own(results.risks)),
      printRows(`${user}: faults at load 1.0`, own(results.faults)),
    ];
  });
  reports.writeResults('policy', results, sections);
  traces.MIXES.forEach(({ user }) => {
    const rows = results.risks.filter((row) => row.user === user && row.load === 1);
    plots.writeLines(`policy-risk-${user}`, `${user}: overflowRisk at load 1.0`, {
      x: rows.map((row) => row.policy.replace('risk ', '')),
      series: [
        { name: 'preemptions per 1,000', values: rows.map((row) => row.mean.preemptionsPer1000) },
        { name: 'goodput, tokens/s / 20', values: rows.map((row) => row.mean.goodputPerS / 20) },
        { name: 'long mean, s', values: rows.map((row) => row.mean.longMeanMs / 1_000) },
      ],
    });
    const names = [...new Set(results.loads.map((row) => row.policy))];
    plots.writeLines(`policy-preemptions-${user}`, `${user}: preemptions per 1,000 by load`, {
      x: LOADS.map(String),
      series: names.map((name) => ({
        name,
        values: results.loads
          .filter((row) => row.user === user && row.policy === name)
          .map((row) => row.mean.preemptionsPer1000),
      })),
    });
  });
}

/** Replays both users' mixes under every policy, load, overflow risk and fault. */
export async function run(): Promise<void> {
  const capacities = await findCapacities();
  const users = traces.MIXES.map((mix) => mix.user);
  const loads = await runPlans(
    users.flatMap((user) =>
      LOADS.flatMap((load) =>
        listPolicies(user).map((policy) => ({ user, load, fault: 'none' as const, policy })),
      ),
    ),
    capacities,
  );
  const risks = await runPlans(
    users.flatMap((user) =>
      [0.9, 1, 1.3].flatMap((load) =>
        RISKS.map((overflowRisk) => ({
          user,
          load,
          fault: 'none' as const,
          policy: { name: `risk ${overflowRisk}`, overflowRisk, sendsClass: true },
        })),
      ),
    ),
    capacities,
  );
  const compared = new Set(['least-memory', 'least-memory+class', 'pool-owner']);
  const faults = await runPlans(
    users.flatMap((user) =>
      FAULTS.flatMap((fault) =>
        listPolicies(user)
          .filter((policy) => compared.has(policy.name))
          .map((policy) => ({ user, load: 1, fault, policy })),
      ),
    ),
    capacities,
  );
  writeReport({ capacities: Object.fromEntries(capacities), loads, risks, faults });
}
