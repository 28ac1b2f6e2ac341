import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import type * as schemas from '@bramleyridge/schemas';
import * as hdr from 'hdr-histogram-js';

import * as deployments from '../deployment.js';
import * as usages from '../process-usage.js';
import * as reports from '../report.js';

const ZONES = ['a', 'b', 'c', 'd'];
const CHANGE_COUNT = 60;
const BACKLOG_CHANGES = 500;
const INTENT_COUNTS = [100, 500, 2_000];
const DAEMON_COUNTS = [12, 20, 40];
const IDLE_MS = 8_000;

/** Time for daemons to settle before their idle cost is measured. */
const SETTLE_MS = 16_000;

/** Rate of steady changes, much higher than 250 a day, so that some fall into the measurement. */
const CHANGES_PER_S = 0.5;

interface Times {
  readonly p50Ms: number;
  readonly p99Ms: number;
}

function createFiles(intents: number, weight: number): schemas.DeclarationFile[] {
  const team: schemas.Team = {
    kind: 'team',
    name: 'team-0',
    tokenSha256: ['0'.repeat(64)],
    availabilityZones: ZONES,
    weight,
    maxConcurrent: 10,
    maxQueued: 10,
  };
  const rest = Array.from({ length: intents }, (_, i): schemas.Team => ({
    ...team,
    name: `team-${i + 1}`,
    weight: 1,
  }));
  return [team, ...rest];
}

/** Client of one deployment's operator API that also waits until hosts have a revision in force. */
class Operator {
  private count = 0;

  public constructor(private readonly deployment: deployments.Deployment) {}

  /** Plans and confirms a change and returns its revision once the confirmation is answered. */
  public async change(files: readonly schemas.DeclarationFile[]): Promise<number> {
    this.count += 1;
    const requestId = `bench-${process.pid}-${this.count}`;
    const planned = (await this.post('/plans', { requestId, files })) as { plan: schemas.Plan };
    const confirmed = (await this.post(`/plans/${planned.plan.planId}/confirm`, {
      requestId: `${requestId}c`,
    })) as {
      revision: number;
    };
    return confirmed.revision;
  }

  /** Waits until every host whose process is running has a revision in force. */
  public async waitInForceOnAll(revision: number): Promise<void> {
    const urls = this.deployment
      .listUrls()
      .filter((_, i) => !this.deployment.daemons[i]!.child.hasExited());
    await Promise.all(urls.map((url) => this.waitInForceAt(url, revision)));
  }

  private async waitInForceAt(url: string, revision: number): Promise<void> {
    for (;;) {
      const found = await fetch(`${url}/readyz`)
        .then((res) => res.json() as Promise<{ revision: number; isReady: boolean }>)
        .catch(() => undefined);
      if (found !== undefined && found.isReady && found.revision >= revision) {
        return;
      }
      await deployments.pause(2);
    }
  }

  private async post(route: string, body: object): Promise<unknown> {
    for (;;) {
      for (const [i, url] of this.deployment.listUrls().entries()) {
        if (this.deployment.daemons[i]!.child.hasExited()) {
          continue;
        }
        const res = await fetch(`${url}/operator/v1${route}`, {
          method: 'POST',
          headers: { authorization: `Bearer ${deployments.OPERATOR_TOKEN}` },
          body: JSON.stringify(body),
          signal: AbortSignal.timeout(10_000),
        }).catch(() => undefined);
        if (res?.status === 200) {
          return res.json();
        }
        await res?.text();
      }
    }
  }
}

function summarize(times: readonly number[]): Times {
  const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000 });
  times.forEach((ms) => histogram.recordValue(Math.max(1, Math.round(ms))));
  return {
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
  };
}

async function timeChanges(operator: Operator, intents: number, count: number): Promise<Times> {
  const times: number[] = [];
  for (let i = 0; i < count; i += 1) {
    const revision = await operator.change(createFiles(intents, 1 + (i % 100)));
    const at = performance.now();
    await operator.waitInForceOnAll(revision);
    times.push(performance.now() - at);
  }
  return summarize(times);
}

interface RoleUsage {
  readonly role: string;
  readonly cpuShare: number;
  readonly memoryMb: number;
  readonly bytesPerS: number;
}

/** Reads from a daemon the bytes sent and received so far over its links to other daemons. */
async function readBytes(url: string): Promise<number> {
  const res = await fetch(`${url}/operator/v1/links`, {
    headers: { authorization: `Bearer ${deployments.OPERATOR_TOKEN}` },
  });
  const counts = (await res.json()) as { bytesIn: number; bytesOut: number };
  return counts.bytesIn + counts.bytesOut;
}

async function readRole(url: string): Promise<string> {
  const res = await fetch(`${url}/operator/v1/links`, {
    headers: { authorization: `Bearer ${deployments.OPERATOR_TOKEN}` },
  });
  const { role } = (await res.json()) as { role: string };
  return role;
}

async function measureLoad(
  deployment: deployments.Deployment,
  action: () => Promise<void>,
): Promise<RoleUsage[]> {
  const urls = deployment.listUrls();
  const read = async () =>
    Promise.all(
      urls.map(async (url, i) => ({
        role: await readRole(url),
        bytes: await readBytes(url),
        ...usages.getUsage(deployment.daemons[i]!.child.pid),
      })),
    );
  const before = await read();
  const at = performance.now();
  await action();
  const seconds = (performance.now() - at) / 1_000;
  const after = await read();
  const all = after.map((item, i) => ({
    role: item.role,
    cpuShare: (item.cpuS - before[i]!.cpuS) / seconds,
    memoryMb: item.memoryMb,
    bytesPerS: (item.bytes - before[i]!.bytes) / seconds,
  }));
  const roles = [...new Set(all.map((item) => item.role))].sort();
  return roles.map((role) => {
    const own = all.filter((item) => item.role === role);
    const mean = (pick: (item: RoleUsage) => number) =>
      own.reduce((sum, item) => sum + pick(item), 0) / own.length;
    return {
      role,
      cpuShare: mean((item) => item.cpuShare),
      memoryMb: mean((item) => item.memoryMb),
      bytesPerS: mean((item) => item.bytesPerS),
    };
  });
}

function createDeployment(folder: string, daemons: number): deployments.Deployment {
  return new deployments.Deployment({
    folder,
    zones: ZONES,
    daemonsPerZone: daemons / ZONES.length,
    voters: 5,
    enginesPerZone: 0,
    services: [],
    models: [],
    tokensTotal: 1,
    speed: 1,
    logLevel: 'warn',
  });
}

async function withDeployment<T>(
  daemons: number,
  work: (deployment: deployments.Deployment, operator: Operator) => Promise<T>,
): Promise<T> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-control-'));
  const deployment = createDeployment(folder, daemons);
  try {
    await deployment.start();
    await deployment.waitReady(60_000);
    return await work(deployment, new Operator(deployment));
  } finally {
    await deployment.end();
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

async function findLeader(deployment: deployments.Deployment): Promise<number> {
  const roles = await Promise.all(
    deployment
      .listUrls()
      .map((url, i) =>
        deployment.daemons[i]!.child.hasExited() ? Promise.resolve('') : readRole(url),
      ),
  );
  return roles.findIndex((role) => role.startsWith('leader'));
}

async function timeLeaderLoss(
  deployment: deployments.Deployment,
  operator: Operator,
  rounds: number,
): Promise<Times> {
  const times: number[] = [];
  for (let i = 0; i < rounds; i += 1) {
    const leader = await findLeader(deployment);
    await deployment.daemons[leader]!.child.kill();
    const at = performance.now();
    const revision = await operator.change(createFiles(100, 200 + i));
    times.push(performance.now() - at);
    deployment.restart(leader);
    await operator.waitInForceOnAll(revision);
  }
  return summarize(times);
}

/** Measures how long a voter and a daemon without a disk take to catch up with changes made while both were down. */
async function timeBacklog(
  deployment: deployments.Deployment,
  operator: Operator,
): Promise<{ readonly voterMs: number; readonly daemonMs: number; readonly changesPerS: number }> {
  const leader = await findLeader(deployment);
  const voter = leader === 0 ? 1 : 0;
  const daemon = deployment.daemons.length - 1;
  await Promise.all([voter, daemon].map((i) => deployment.daemons[i]!.child.kill()));
  const from = performance.now();
  let revision = 0;
  for (let i = 0; i < BACKLOG_CHANGES; i += 1) {
    revision = await operator.change(createFiles(100, 1_000 - i));
  }
  const changesPerS = BACKLOG_CHANGES / ((performance.now() - from) / 1_000);
  const wait = async (i: number) => {
    const at = performance.now();
    deployment.restart(i);
    const hostOperator = new Operator({
      ...deployment,
      listUrls: () => [deployment.getUrl(i)],
      daemons: [deployment.daemons[i]!],
    } as unknown as deployments.Deployment);
    await hostOperator.waitInForceOnAll(revision);
    return performance.now() - at;
  };
  return { voterMs: await wait(voter), daemonMs: await wait(daemon), changesPerS };
}

interface SizeResult {
  readonly daemons: number;
  readonly inForce: Times;
  readonly idle: RoleUsage[];
  readonly changing: RoleUsage[];
}

async function measureSize(daemons: number): Promise<SizeResult> {
  return withDeployment(daemons, async (deployment, operator) => {
    await operator.waitInForceOnAll(await operator.change(createFiles(100, 1)));
    // By then links that were only used at the start are closed; an idle daemon does not have them.
    await deployments.pause(SETTLE_MS);
    const idle = await measureLoad(deployment, () => deployments.pause(IDLE_MS));
    const changing = await measureLoad(deployment, async () => {
      for (let i = 0; i < IDLE_MS * CHANGES_PER_S * 0.001; i += 1) {
        await operator.change(createFiles(100, 2 + i));
        await deployments.pause(1_000 / CHANGES_PER_S);
      }
    });
    const inForce = await timeChanges(operator, 100, CHANGE_COUNT);
    return { daemons, inForce, idle, changing };
  });
}

interface IntentCountResult {
  readonly intents: number;
  readonly inForce: Times;
  readonly load: RoleUsage[];
}

async function measureIntents(): Promise<IntentCountResult[]> {
  return withDeployment(12, async (deployment, operator) => {
    const rows: IntentCountResult[] = [];
    for (const intents of INTENT_COUNTS) {
      await operator.waitInForceOnAll(await operator.change(createFiles(intents, 1)));
      const inForce = await timeChanges(operator, intents, 10);
      const load = await measureLoad(deployment, () => deployments.pause(2_000));
      rows.push({ intents, inForce, load });
    }
    return rows;
  });
}

function createLoadRows(
  label: string,
  sized: readonly SizeResult[],
  pick: (s: SizeResult) => RoleUsage[],
) {
  return sized.flatMap((item) =>
    pick(item).map((load) => ({
      state: label,
      daemons: item.daemons,
      role: load.role,
      'share of a core': load.cpuShare.toFixed(4),
      'memory MB': load.memoryMb.toFixed(0),
      'bytes/s': Math.round(load.bytesPerS),
    })),
  );
}

/** Measures the control plane with real processes on loopback: 5 voters, up to 40 daemons in 4 zones. */
export async function run(): Promise<void> {
  const sized: SizeResult[] = [];
  for (const daemons of DAEMON_COUNTS) {
    sized.push(await measureSize(daemons));
  }
  const faults = await withDeployment(40, async (deployment, operator) => {
    await operator.waitInForceOnAll(await operator.change(createFiles(100, 1)));
    const leaderLoss = await timeLeaderLoss(deployment, operator, 5);
    const backlog = await timeBacklog(deployment, operator);
    return { leaderLoss, backlog };
  });
  const counted = await measureIntents();
  const { backlog, leaderLoss } = faults;
  reports.writeResults('control', { sized, faults, counted }, [
    reports.createSection('Confirmed to in force on every host', [
      ...sized.map((item) => ({
        daemons: item.daemons,
        'items declared': 101,
        'p50 ms': item.inForce.p50Ms,
        'p99 ms': item.inForce.p99Ms,
      })),
      ...counted.map((item) => ({
        daemons: 12,
        'items declared': item.intents + 1,
        'p50 ms': item.inForce.p50Ms,
        'p99 ms': item.inForce.p99Ms,
      })),
    ]),
    reports.createSection('Faults, 40 daemons', [
      { what: 'leader killed to next confirmed plan, median', ms: leaderLoss.p50Ms },
      { what: 'leader killed to next confirmed plan, worst of 5', ms: leaderLoss.p99Ms },
      { what: 'voter restarted 500 changes behind to in force', ms: Math.round(backlog.voterMs) },
      { what: 'daemon restarted 500 changes behind to in force', ms: Math.round(backlog.daemonMs) },
    ]),
    reports.createSection('Rates', [
      {
        what: 'changes planned and confirmed per second, one operator',
        value: backlog.changesPerS.toFixed(1),
      },
    ]),
    reports.createSection('What a daemon spends for control', [
      ...createLoadRows('idle', sized, (item) => item.idle),
      ...createLoadRows(`${CHANGES_PER_S} changes/s`, sized, (item) => item.changing),
    ]),
  ]);
}
