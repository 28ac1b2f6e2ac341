import * as reports from './report.js';

interface PolicyRow {
  readonly user: string;
  readonly load: number;
  readonly policy: string;
  readonly mean: Readonly<Record<string, number>>;
}

interface RelayRow {
  readonly load: string;
  readonly path: string;
  readonly tokensPerS: number;
  readonly p99Ms: number;
  readonly cpuUsPerToken: number;
  readonly memoryMb: number;
}

interface ControlResults {
  readonly sized: readonly {
    readonly daemons: number;
    readonly inForce: { readonly p99Ms: number };
  }[];
  readonly faults: {
    readonly leaderLoss: { readonly p99Ms: number };
    readonly backlog: { readonly voterMs: number; readonly daemonMs: number };
  };
}

const BASELINE_POLICIES = ['round-robin', 'least-outstanding', 'least-memory', 'two-choices'];

function* listPolicy(): Generator<reports.TableRow> {
  const policy = reports.findResults<{ loads: PolicyRow[] }>('policy');
  for (const own of policy?.loads.filter((row) => row.policy === 'pool-owner') ?? []) {
    if (own.load < 0.9) {
      continue;
    }
    const baselines = policy!.loads.filter(
      (row) =>
        row.user === own.user && row.load === own.load && BASELINE_POLICIES.includes(row.policy),
    );
    const best = (key: string) => Math.min(...baselines.map((row) => row.mean[key] ?? Infinity));
    const goodput = Math.max(...baselines.map((row) => row.mean.goodputPerS ?? 0));
    const get = (key: string) => own.mean[key] ?? 0;
    const where = `${own.user}, load ${own.load}`;
    const fewer = best('preemptionsPer1000') / Math.max(get('preemptionsPer1000'), 0.01);
    yield createRow(
      `${where}: preemptions, times fewer`,
      fewer.toFixed(1),
      'at least 10',
      fewer >= 10,
    );
    const kept = get('goodputPerS') / goodput;
    yield createRow(
      `${where}: goodput, of the best`,
      kept.toFixed(3),
      'at least 0.995',
      kept >= 0.995,
    );
    const short = get('shortP99Ms') / best('shortP99Ms');
    yield createRow(
      `${where}: short p99, of the best`,
      short.toFixed(2),
      'at most 0.5',
      short <= 0.5,
    );
    const long = get('longMeanMs') / best('longMeanMs');
    yield createRow(
      `${where}: drafts’ time, of the best`,
      long.toFixed(2),
      'at most 1.05',
      long <= 1.05,
    );
    const fair = get('fairness');
    yield createRow(`${where}: fairness`, fair.toFixed(3), 'at least 0.95', fair >= 0.95);
  }
}

function* listRelay(): Generator<reports.TableRow> {
  const relay = reports.findResults<{ rows: RelayRow[] }>('relay');
  const find = (load: string, path: string) =>
    relay?.rows.find((row) => row.load === load && row.path === path);
  const [full, passThrough] = [
    find('30,000 tokens/s', 'daemon'),
    find('30,000 tokens/s', 'pass-through'),
  ];
  const [small, direct] = [find('2,600 tokens/s', 'daemon'), find('2,600 tokens/s', 'direct')];
  const many = find('2,000 open streams', 'daemon');
  if (!full || !passThrough || !small || !direct || !many) {
    return;
  }
  yield createRow(
    'relay: tokens/s on a core',
    String(full.tokensPerS),
    'at least 30,000',
    full.tokensPerS >= 30_000,
  );
  const ratio = full.cpuUsPerToken / passThrough.cpuUsPerToken;
  yield createRow(
    'relay: processor time, of a bare pass-through',
    ratio.toFixed(2),
    'at most 1.5',
    ratio <= 1.5,
  );
  const added = small.p99Ms - direct.p99Ms;
  yield createRow(
    'relay: added p99 at 2,600 tokens/s, ms',
    added.toFixed(2),
    'at most 2',
    added <= 2,
  );
  yield createRow(
    'relay: memory with 2,000 streams, MB',
    many.memoryMb.toFixed(0),
    'under 256',
    many.memoryMb < 256,
  );
}

function* listGrants(): Generator<reports.TableRow> {
  const grants = reports.findResults<{ rows: { upstreams: number; decisionsPerS: number }[] }>(
    'grants',
  );
  const row = grants?.rows.find((item) => item.upstreams === 25);
  if (row !== undefined) {
    const isMet = row.decisionsPerS >= 5_000;
    yield createRow(
      'grants: decisions/s, 25 upstreams, 850 live',
      String(row.decisionsPerS),
      'at least 5,000',
      isMet,
    );
  }
}

function* listControl(): Generator<reports.TableRow> {
  const control = reports.findResults<ControlResults>('control');
  if (control === undefined) {
    return;
  }
  const { p99Ms } = control.sized.at(-1)!.inForce;
  yield createRow(
    'control: in force on 40 daemons, p99 ms',
    String(p99Ms),
    'under 1,000',
    p99Ms < 1_000,
  );
  const lost = control.faults.leaderLoss.p99Ms;
  yield createRow(
    'control: leader killed to next confirmed, worst ms',
    String(lost),
    'under 3,000',
    lost < 3_000,
  );
  const { daemonMs, voterMs } = control.faults.backlog;
  const backlog = Math.max(daemonMs, voterMs);
  yield createRow(
    'control: restart 500 changes behind, ms',
    backlog.toFixed(0),
    'under 2,000',
    backlog < 2_000,
  );
}

function createRow(figure: string, value: string, aim: string, isMet: boolean): reports.TableRow {
  return { figure, value, aim, verdict: isMet ? 'met' : '**missed**' };
}

/** Creates a table of every measured headline figure with its target. */
export function createHeadlineTable(): string {
  const rows = [...listPolicy(), ...listRelay(), ...listGrants(), ...listControl()];
  return reports.createSection('Where the project stands', rows);
}
