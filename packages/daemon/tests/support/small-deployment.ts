import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as daemons from '@bramleyridge/daemon';
import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';

/** Tokens of the two teams and of the operator. */
export const TOKENS = { sales: 'token-sales', night: 'token-night', operator: 'token-operator' };

/** Short timings, so that failures are detected within the duration of a test. */
const TIMINGS = {
  heartbeatMs: 200,
  suspectMs: 700,
  electionMs: 300,
  leaseMs: 200,
  reportMs: 100,
  peerDeadlineMs: 500,
  claimDeadlineMs: 500,
};

const LIMITS = {
  upstreamSilenceMs: 1_500,
  callerGraceMs: 1_000,
  queueMs: 8_000,
  bodyTimeoutMs: 700,
  bodyBytes: 200_000,
};

/** Delay of the fake platform's list, in milliseconds. */
const LIST_LAG_MS = 100;

/** Time within which an expected condition must become true, in milliseconds. */
const WAIT_TIMEOUT_MS = 20_000;

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** One daemon in this process, with its settings. */
export interface Running {
  readonly cfg: schemas.DaemonConfig;
  daemon: daemons.Daemon;
  isUp: boolean;
}

/** Options of `SmallDeployment`. */
export interface SmallDeploymentOptions {
  /** Limit of the body of a call, in bytes. */
  readonly bodyBytes?: number;
  /** Limits that differ from those of these tests. */
  readonly limits?: Partial<schemas.DaemonConfig['limits']>;
  /** Daemons that may be cut off from upstreams; all by default. The others' connections have no relay of the test. */
  readonly cuttable?: readonly string[];
}

/**
 * A deployment of daemons in this process on real sockets, with fake engines, services and
 * platform.
 */
export class SmallDeployment {
  public readonly running: Running[] = [];
  public readonly engines: fakes.FakeEngine[] = [];
  public readonly services: fakes.FakeService[] = [];
  public readonly platform = new fakes.FakePlatform(LIST_LAG_MS);
  public upstreams: schemas.Upstream[] = [];
  /** Dialers of the daemons, by daemon id. */
  public readonly dialers = new Map<string, fakes.CutDialer>();
  private folder = '';
  private reservedPorts: fakes.ReservedPorts | undefined;

  public constructor(
    private readonly zones: readonly string[],
    private readonly daemonsPerZone: number,
    private readonly enginesPerZone = 1,
    private readonly options: SmallDeploymentOptions = {},
  ) {}

  /** Starts everything and applies the declaration of `createFiles`. */
  public async start(t: Teardown): Promise<void> {
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-test-'));
    t.teardown(() => this.end());
    const platformUrl = await this.platform.listen();
    await this.startUpstreams();
    // Upstreams are listed before any daemon starts: a daemon that reads an empty list uses it, and
    // polls again only a second later.
    await pause(LIST_LAG_MS);
    const keysFile = path.join(this.folder, 'keys.json');
    const key = crypto.randomBytes(32).toString('base64');
    fs.writeFileSync(keysFile, JSON.stringify({ active: 'k1', keys: { k1: key } }));
    const entries = await this.createEntries();
    for (const entry of entries) {
      const cfg = schemas.daemonConfig.parse({
        ...entry,
        ...(entry.voter ? { dataFolder: path.join(this.folder, entry.daemonId) } : {}),
        peers: entries,
        keysFile,
        operators: [{ operator: 'night', sha256: schemas.getSha256(TOKENS.operator) }],
        platformUrl,
        timings: TIMINGS,
        limits: {
          ...LIMITS,
          bodyBytes: this.options.bodyBytes ?? LIMITS.bodyBytes,
          ...this.options.limits,
        },
      });
      if (this.options.cuttable?.includes(cfg.daemonId) ?? true) {
        const dialer = new fakes.CutDialer();
        await dialer.start();
        this.dialers.set(cfg.daemonId, dialer);
      }
      this.running.push({ cfg, daemon: this.create(cfg), isUp: true });
    }
    await Promise.all(this.running.map((item) => item.daemon.start()));
    await this.apply(this.createFiles());
    await this.waitUntil('claim acceptors', () =>
      this.running.every((item) => item.daemon.store.get().claimSeats.length >= 3),
    );
    // The balancer only sends callers to daemons that report readiness.
    await Promise.all(this.running.map((_, i) => this.waitReady(i)));
  }

  /** Creates a declaration for these zones. */
  public createFiles(change: Partial<schemas.Team> = {}): schemas.DeclarationFile[] {
    const zones = [...this.zones];
    const createTeam = (name: string, token: string): schemas.Team => ({
      kind: 'team',
      name,
      tokenSha256: [schemas.getSha256(token)],
      availabilityZones: zones,
      weight: 1,
      maxConcurrent: 64,
      maxQueued: 64,
    });
    return [
      createTeam('sales', TOKENS.sales),
      { ...createTeam('night', TOKENS.night), availabilityZones: [zones[0]!], ...change },
      {
        kind: 'intent',
        name: 'drafts',
        model: 'drafter',
        version: 'v1',
        teams: ['sales', 'night'],
        availabilityZones: zones,
        upstreamsPerZone: this.enginesPerZone,
        room: 65_536,
        overflowRisk: 0.05,
      },
      {
        kind: 'service',
        name: 'booking',
        availabilityZones: zones,
        notRepeatable: [{ method: 'POST', path: '/confirms' }],
      },
    ];
  }

  /** Plans and confirms through any running daemon; resolves to the new revision. */
  public async apply(files: readonly schemas.DeclarationFile[]): Promise<number> {
    const planned = await this.callOperatorApi('/plans', { requestId: crypto.randomUUID(), files });
    const { plan } = planned.body as { plan: schemas.Plan };
    const confirmed = await this.callOperatorApi(`/plans/${plan.planId}/confirm`, {
      requestId: crypto.randomUUID(),
    });
    const { revision } = confirmed.body as { revision: number };
    await this.waitUntil(`revision ${revision}`, () =>
      this.running.every((item) => !item.isUp || item.daemon.store.get().revision >= revision),
    );
    return revision;
  }

  /** Calls the operators' API, and retries until it is answered. */
  public async callOperatorApi(
    route: string,
    body?: object,
    at?: number,
  ): Promise<{ status: number; body: unknown }> {
    const end = Date.now() + WAIT_TIMEOUT_MS;
    for (;;) {
      const index = at ?? this.running.findIndex((item) => item.isUp);
      const res = await fetch(`${this.getUrl(index)}/operator/v1${route}`, {
        method: body === undefined ? 'GET' : 'POST',
        headers: { authorization: `Bearer ${TOKENS.operator}` },
        body: body === undefined ? undefined : JSON.stringify(body),
      });
      const answer = { status: res.status, body: await res.json() };
      if ((res.status !== 503 && res.status !== 502) || Date.now() > end) {
        return answer;
      }
    }
  }

  /** Returns the base URL of a daemon for callers. */
  public getUrl(index: number): string {
    const { cfg } = this.running[index]!;
    return `http://${cfg.host}:${cfg.callerPort}`;
  }

  /** Stops a daemon like a killed process. */
  public kill(index: number): void {
    const item = this.running[index]!;
    item.isUp = false;
    item.daemon.kill();
  }

  /** Restarts a daemon with its previous disk. */
  public async restart(index: number): Promise<void> {
    const item = this.running[index]!;
    item.daemon = this.create(item.cfg);
    item.isUp = true;
    await item.daemon.start();
  }

  /** Restarts a daemon and waits until it reports readiness. */
  public async restartUntilReady(index: number): Promise<void> {
    await this.restart(index);
    await this.waitReady(index);
  }

  /** Restarts a voter with an empty disk. */
  public async restartWithEmptyDisk(index: number): Promise<void> {
    fs.rmSync(this.running[index]!.cfg.dataFolder!, { recursive: true });
    await this.restart(index);
  }

  /** Cuts all links between one zone and the others. */
  public isolateZone(zone: string): void {
    this.running.forEach(({ cfg, daemon }) => {
      const isInside = cfg.availabilityZone === zone;
      daemon.simulatePartition(
        (id) => this.getZone(id) !== undefined && (this.getZone(id) === zone) !== isInside,
        false,
      );
    });
  }

  /** Restores all links. */
  public healPartitions(): void {
    this.running.forEach(({ daemon }) => daemon.simulatePartition(() => false, false));
  }

  /** Returns the index of the leader, or -1. */
  public findLeader(): number {
    return this.running.findIndex((item) => item.isUp && item.daemon.control.voter?.isLeader());
  }

  /** Waits until a condition is true. */
  public async waitUntil(what: string, isMet: () => boolean | Promise<boolean>): Promise<void> {
    const end = Date.now() + WAIT_TIMEOUT_MS;
    while (!(await isMet())) {
      if (Date.now() > end) {
        throw new Error(`timed out waiting for ${what}`);
      }
      await pause(20);
    }
  }

  /** Returns the number of engines whose record contains a generation. */
  public countRuns(generation: string): number {
    return this.engines.filter((engine) => engine.record.has(generation)).length;
  }

  private waitReady(index: number): Promise<void> {
    return this.waitUntil('readiness', async () => {
      const { status } = await fetch(`${this.getUrl(index)}/readyz`);
      return status === 200;
    });
  }

  private getZone(daemonId: string): string | undefined {
    return this.running.find((item) => item.cfg.daemonId === daemonId)?.cfg.availabilityZone;
  }

  private create(cfg: schemas.DaemonConfig): daemons.Daemon {
    return new daemons.Daemon(cfg, { log: createLog(), dialer: this.dialers.get(cfg.daemonId) });
  }

  private async startUpstreams(): Promise<void> {
    for (const availabilityZone of this.zones) {
      for (let i = 1; i <= this.enginesPerZone; i += 1) {
        const upstreamId = `engine-${availabilityZone}-${i}`;
        const engine = new fakes.FakeEngine({
          upstreamId,
          models: [],
          checksFencing: i % 2 === 1,
          reportLagMs: 50,
          speed: 4,
        });
        this.engines.push(engine);
        this.upstreams.push({
          upstreamId,
          kind: 'engine',
          availabilityZone,
          url: await engine.listen(),
          state: 'live',
          checksFencing: i % 2 === 1,
        });
      }
      const service = new fakes.FakeService();
      this.services.push(service);
      this.upstreams.push({
        upstreamId: `booking-${availabilityZone}`,
        kind: 'service',
        service: 'booking',
        availabilityZone,
        url: await service.listen(),
        state: 'live',
        checksFencing: false,
      });
    }
    this.platform.set(this.upstreams);
  }

  private async createEntries(): Promise<schemas.DaemonEntry[]> {
    const count = this.zones.length * this.daemonsPerZone;
    this.reservedPorts = await fakes.ReservedPorts.take(2 * count);
    const ports = this.reservedPorts.list();
    return Array.from({ length: count }, (_, i) => {
      const availabilityZone = this.zones[i % this.zones.length]!;
      return {
        daemonId: `${availabilityZone}-${Math.floor(i / this.zones.length) + 1}`,
        availabilityZone,
        host: fakes.RESERVED_PORT_HOST,
        peerPort: ports[2 * i]!,
        callerPort: ports[2 * i + 1]!,
        voter: i < 3,
      };
    });
  }

  private async end(): Promise<void> {
    this.running.filter((item) => item.isUp).forEach((item) => item.daemon.kill());
    this.engines.forEach((engine) => engine.kill());
    this.services.forEach((service) => service.kill());
    this.platform.kill();
    this.dialers.forEach((dialer) => dialer.stop());
    this.reservedPorts?.release();
    await pause(50);
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Waits for the given time in milliseconds. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function createLog(): schemas.Log {
  if (process.env.TEST_LOG === undefined) {
    return new schemas.SilentLog();
  }
  const write = (fields: object) => process.stderr.write(`${JSON.stringify(fields)}\n`);
  return { debug: write, info: write, warn: write, error: write };
}
