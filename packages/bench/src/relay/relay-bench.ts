import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as schemas from '@bramleyridge/schemas';

import * as children from '../child.js';
import * as deployments from '../deployment.js';
import * as usages from '../process-usage.js';
import * as reports from '../report.js';

const TOKEN = 'example-token-sales';
const WARMUP_MS = 2_500;
const MEASURE_MS = 6_000;

/** Loads: few streams to measure latency, many to measure throughput and memory. */
const LOADS = [
  { name: '2,600 tokens/s', streams: 100, rate: 26 },
  { name: '10,000 tokens/s', streams: 200, rate: 50 },
  { name: '20,000 tokens/s', streams: 400, rate: 50 },
  { name: '30,000 tokens/s', streams: 600, rate: 50 },
  { name: '2,000 open streams', streams: 2_000, rate: 5 },
] as const;

interface LoadResult {
  readonly tokens: number;
  readonly failed: number;
  readonly p50Us: number;
  readonly p99Us: number;
}

/** Measurements of one load over one path. */
export interface RelayRow {
  readonly load: string;
  readonly path: string;
  readonly offeredPerS: number;
  readonly tokensPerS: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly cpuShare: number;
  readonly cpuUsPerToken: number;
  readonly memoryMb: number;
}

async function runLoad(
  load: (typeof LOADS)[number],
  name: string,
  url: string,
  pid: number | undefined,
): Promise<RelayRow> {
  const loadProcesses = 2;
  const program = children.getProgram('bench', 'relay/load-main.js');
  const options = {
    url,
    token: TOKEN,
    streams: load.streams / loadProcesses,
    rate: load.rate,
    warmupMs: WARMUP_MS,
    measureMs: MEASURE_MS,
  };
  const runs = Array.from({ length: loadProcesses }, () =>
    children.runProgram([program, JSON.stringify(options)], {}),
  );
  const rampUpMs = (load.streams / loadProcesses / 20) * 20;
  await deployments.pause(rampUpMs + WARMUP_MS + 500);
  const before = pid === undefined ? undefined : usages.getUsage(pid);
  const at = performance.now();
  await deployments.pause(MEASURE_MS - 1_500);
  const after = pid === undefined ? undefined : usages.getUsage(pid);
  const seconds = (performance.now() - at) / 1_000;
  const results = (await Promise.all(runs)).map(({ stdout }) => JSON.parse(stdout) as LoadResult);
  const sum = (pick: (result: LoadResult) => number) =>
    results.reduce((total, result) => total + pick(result), 0);
  const tokensPerS = sum((result) => result.tokens) / (MEASURE_MS / 1_000);
  if (tokensPerS === 0) {
    throw new Error(`${load.name} through ${name}: no token arrived`);
  }
  const cpuS = (after?.cpuS ?? 0) - (before?.cpuS ?? 0);
  return {
    load: load.name,
    path: name,
    offeredPerS: load.streams * load.rate,
    tokensPerS: Math.round(tokensPerS),
    failed: sum((result) => result.failed),
    p50Ms: sum((result) => result.p50Us) / loadProcesses / 1_000,
    p99Ms: Math.max(...results.map((result) => result.p99Us)) / 1_000,
    cpuShare: cpuS / seconds,
    cpuUsPerToken: (cpuS / seconds / tokensPerS) * 1e6,
    memoryMb: after?.memoryMb ?? 0,
  };
}

async function startDaemon(
  folder: string,
  sourceUrl: string,
): Promise<{ deployment: deployments.Deployment; url: string; pid: number }> {
  const deployment = new deployments.Deployment({
    folder,
    zones: ['a'],
    daemonsPerZone: 1,
    voters: 1,
    enginesPerZone: 0,
    services: [],
    models: [],
    tokensTotal: 1,
    speed: 1,
    logLevel: 'warn',
    platformUrl: sourceUrl,
  });
  await deployment.start();
  await deployment.waitReady(20_000);
  const files = path.join(folder, 'declaration');
  fs.mkdirSync(files);
  const team: schemas.Team = {
    kind: 'team',
    name: 'sales',
    tokenSha256: [schemas.getSha256(TOKEN)],
    availabilityZones: ['a'],
    weight: 1,
    maxConcurrent: 10_000,
    maxQueued: 10_000,
  };
  const intent: schemas.Intent = {
    kind: 'intent',
    name: 'spot-drafter',
    model: 'spot-drafter',
    version: 'v1',
    teams: ['sales'],
    availabilityZones: ['a'],
    upstreamsPerZone: 1,
    room: 1_000_000_000,
    overflowRisk: 0.05,
  };
  fs.writeFileSync(path.join(files, 'team.json'), JSON.stringify(team));
  fs.writeFileSync(path.join(files, 'intent.json'), JSON.stringify(intent));
  await deployment.apply(files);
  return { deployment, url: deployment.getUrl(0), pid: deployment.daemons[0]!.child.pid };
}

function createRows(rows: readonly RelayRow[]): reports.TableRow[] {
  return rows.map((row) => {
    const direct = rows.find((other) => other.load === row.load && other.path === 'direct');
    return {
      load: row.load,
      path: row.path,
      'tokens/s': row.tokensPerS,
      failed: row.failed,
      'delay p50 ms': row.p50Ms.toFixed(2),
      'delay p99 ms': row.p99Ms.toFixed(2),
      'added p99 ms': (row.p99Ms - (direct?.p99Ms ?? 0)).toFixed(2),
      'core share': row.cpuShare.toFixed(2),
      'us/token': row.cpuUsPerToken.toFixed(1),
      'memory MB': row.memoryMb.toFixed(0),
    };
  });
}

/** Measures one daemon on one core, together with a minimal proxy and a direct connection in the same run. */
export async function run(): Promise<void> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-relay-'));
  const start = (file: string, ...args: string[]) =>
    new children.Child(
      [children.getProgram('bench', `relay/${file}`), ...args],
      path.join(folder, `${file}.log`),
    );
  const source = start('source-main.js');
  const readUrl = async (child: children.Child) => {
    const { port } = JSON.parse(await child.getFirstLine()) as { port: number };
    return `http://127.0.0.1:${port}`;
  };
  const sourceUrl = await readUrl(source);
  const passthrough = start('passthrough-main.js', sourceUrl);
  const passthroughUrl = await readUrl(passthrough);
  const { deployment, pid, url } = await startDaemon(folder, sourceUrl);
  const rows: RelayRow[] = [];
  try {
    for (const load of LOADS) {
      rows.push(await runLoad(load, 'direct', sourceUrl, undefined));
      rows.push(await runLoad(load, 'pass-through', passthroughUrl, passthrough.pid));
      rows.push(await runLoad(load, 'daemon', url, pid));
    }
  } finally {
    await deployment.end();
    await Promise.all([source.kill(), passthrough.kill()]);
  }
  reports.writeResults('relay', { rows }, [
    reports.createSection('One daemon between callers and an engine', createRows(rows)),
  ]);
}
