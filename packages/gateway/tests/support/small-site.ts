import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';

import * as fakes from '@bramleyridge/fakes';
import * as gateway from '@bramleyridge/gateway';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';

import * as answerProbes from './answer-probe.js';
import * as testWires from './test-wire.js';

/** Time after which `until` fails, in milliseconds. */
const UNTIL_TIMEOUT_MS = 20_000;

interface Teardown {
  teardown(handler: () => unknown): void;
}

interface CoreSlot {
  readonly settings: gateway.HostSettings;
  host: gateway.CoreHost | undefined;
  watch: gateway.SettingsWatcher;
}

/** Core hosts and one entry host in this process, with real sockets on separate loopback addresses. */
export class SmallSite {
  public readonly list = new testWires.TestList();
  public readonly engines = new testWires.TestEngines();
  /** Addresses of the engines that report that they are leaving. */
  public readonly reportLeaving = new Set<string>();
  /** Metrics of the entry host; each core host has its own, as in separate processes. */
  public readonly metrics = new telemetry.TextMetrics();
  /** Metrics of every core host that was started. */
  public readonly coreMetrics: telemetry.TextMetrics[] = [];
  public readonly lines: Record<string, unknown>[] = [];
  /** Dialers of the entry hosts by host id, in the order of their start. */
  public readonly dialers = new Map<string, fakes.CutDialer>();
  public entry!: gateway.EntryHost;
  public entryPort = 0;
  /** How hosts that start from now on share scarce capacity; absent by default. */
  public capacitySharing: gateway.CapacitySharing | undefined;
  /** Whether the site answers probes in place of the upstreams that are added; they answer them themselves by default. */
  public answersProbes = false;
  /** Number of descriptors of each host; not limited by default. */
  public fileDescriptors: number | undefined;
  /** Entry hosts other than the first. */
  public readonly others: { readonly host: gateway.EntryHost; readonly port: number }[] = [];
  private readonly clock = new schemas.SystemClock();
  private readonly cores = new Map<string, CoreSlot>();
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-site-'));
  private peerPort = 0;
  private version = 0;
  private readonly upstreams = new Map<string, http.Server>();
  private readonly open = new Set<http.ClientRequest>();

  private started = 0;

  public constructor(
    private readonly t: Teardown,
    /** Which entry hosts may be cut off from upstreams; the connections of the others have no relay of the test. */
    private readonly canCut: boolean | 'first' = false,
  ) {}

  /** Starts an entry host and `coreCount` core hosts, the first three of which are the founders of the log. */
  public async start(coreCount: number): Promise<void> {
    const held = await fakes.ReservedPorts.take(1);
    this.t.teardown(() => held.release());
    this.peerPort = held.list()[0]!;
    for (let i = 1; i <= coreCount; i += 1) {
      this.addCore(`127.0.1.${i}`, true);
    }
    await Promise.all([...this.cores.keys()].map((ip) => this.startCore(ip)));
    this.entry = await this.createEntry('entry', this.metrics);
    this.entryPort = await this.entry.start();
    this.t.teardown(() => {
      this.entry.kill();
      this.cores.forEach(({ host }) => host?.kill());
      fs.rmSync(this.folder, { recursive: true, force: true });
    });
  }

  /** Starts another entry host. */
  public async addEntry(): Promise<void> {
    const hostId = `entry-${this.others.length + 2}`;
    const host = await this.createEntry(hostId, new telemetry.TextMetrics());
    this.others.push({ host, port: await host.start() });
    this.t.teardown(() => host.kill());
  }

  /** Kills and restarts every host: memory is lost, and disks hold what was synced. */
  public async powerCycle(): Promise<void> {
    this.entry.kill();
    this.others.splice(0).forEach(({ host }) => host.kill());
    const cores = [...this.cores.keys()];
    cores.forEach((ip) => this.stopCore(ip));
    await Promise.all(cores.map((ip) => this.startCore(ip)));
    this.entry = await this.createEntry('entry', new telemetry.TextMetrics());
    this.entryPort = await this.entry.start();
    await this.addEntry();
  }

  /** Returns the core host that leads. */
  public findLeader(): string | undefined {
    return this.lines.findLast(({ decision }) => decision === 'lead')?.host as string;
  }

  /** Adds a core host without starting it. */
  public addCore(ip: string, isFirstStart: boolean): void {
    const settings = this.createSettings(ip, isFirstStart);
    this.cores.set(ip, { settings, host: undefined, watch: this.createWatch(settings) });
  }

  /** Starts a core host with its data folder, if there is one. */
  public async startCore(ip: string): Promise<void> {
    const slot = this.cores.get(ip)!;
    const metrics = new telemetry.TextMetrics();
    this.coreMetrics.push(metrics);
    slot.host = new gateway.CoreHost({
      settings: slot.watch,
      codec: new testWires.TestCodec(),
      source: this.list,
      probe: {
        probe: async (address) =>
          Promise.resolve({
            isLeaving: this.reportLeaving.has(address),
            notice: requests.EMPTY_NOTICE,
            load: undefined,
          }),
      },
      clock: this.clock,
      log: this.createLog(ip),
      metrics,
      random: Math.random,
    });
    await slot.host.start();
  }

  /** Kills a core host; with `isWiped` its disk is lost too. */
  public stopCore(ip: string, isWiped = false): void {
    const slot = this.cores.get(ip)!;
    slot.host?.kill();
    slot.host = undefined;
    // Only the initial start of all hosts is a first start.
    slot.watch = this.createWatch({ ...slot.settings, isFirstStart: false });
    if (isWiped) {
      fs.rmSync(slot.settings.dataFolder!, { recursive: true, force: true });
    }
  }

  /** Returns the operator service of the first running core host, or of the given one. */
  public getOperatorService(ip?: string): gateway.OperatorService {
    const slots = ip === undefined ? [...this.cores.values()] : [this.cores.get(ip)!];
    return slots.find(({ host }) => host !== undefined)!.host!.operatorService;
  }

  /** Orders the evacuation of a zone or its end, at a running core host or at the given one. */
  public async evacuate(zone: string, isEvacuated: boolean, ip?: string): Promise<void> {
    const slots = ip === undefined ? [...this.cores.values()] : [this.cores.get(ip)!];
    const { signal } = new AbortController();
    await this.until('acknowledged', async () => {
      const host = slots.map((slot) => slot.host).find((item) => item !== undefined);
      await host!.evacuations.setEvacuated(zone, isEvacuated, signal);
      return true;
    });
  }

  /** Declares a configuration under the next version, until it is acknowledged. */
  public async declare(change: Partial<schemas.RoutedConfig>): Promise<number> {
    this.version += 1;
    const text = JSON.stringify({ ...createConfig(this.version), ...change });
    await this.until('acknowledged', async () => {
      await this.getOperatorService().declare(text);
      return true;
    });
    return this.version;
  }

  /** Waits until a condition holds; a condition that throws is tried again. */
  public async until(what: string, isSo: () => boolean | Promise<boolean>): Promise<void> {
    const end = this.clock.now() + UNTIL_TIMEOUT_MS;
    let last: unknown;
    while (this.clock.now() < end) {
      try {
        if (await isSo()) {
          return;
        }
      } catch (err) {
        last = err;
      }
      await this.clock.sleep(20);
    }
    throw new Error(`not ${what} within ${UNTIL_TIMEOUT_MS} ms: ${schemas.toError(last).message}`);
  }

  /** Starts an upstream and adds it to the list. */
  public async addUpstream(
    upstreamId: string,
    service: string,
    answer: answerProbes.Answer,
    availabilityZone = 'a',
  ): Promise<string> {
    const address = await this.listen(0, answer);
    this.list.upstreams.push({
      upstreamId,
      service,
      address,
      availabilityZone,
      isLeaving: false,
      slots: 4,
      coldMs: 0,
    });
    return address;
  }

  /** Stops an upstream; it stays on the list. */
  public closeUpstream(address: string): void {
    const server = this.upstreams.get(address);
    server?.closeAllConnections();
    server?.close();
  }

  /** Starts a stopped upstream again at its address. */
  public async reopenUpstream(address: string, answer: answerProbes.Answer): Promise<void> {
    await this.listen(Number(address.split(':')[1]), answer);
  }

  /** Makes a call and returns its answer; rejects if the connection breaks. */
  public call(
    target: string,
    headers: http.OutgoingHttpHeaders = {},
    body = '',
    port = this.entryPort,
  ): Promise<{ status: number; headers: http.IncomingHttpHeaders; body: string }> {
    return new Promise((resolve, reject) => {
      const req = http.request(
        {
          host: '127.0.0.1',
          port,
          path: target,
          method: body === '' ? 'GET' : 'POST',
          headers: { host: 'site.example', 'call-id': 'c1', key: 'k1', ...headers },
          agent: false,
        },
        (res) => {
          let text = '';
          res.on('data', (part: Buffer) => {
            text += part.toString();
          });
          res.on('error', reject);
          res.on('end', () =>
            resolve({ status: res.statusCode ?? 0, headers: res.headers, body: text }),
          );
        },
      );
      this.open.add(req);
      req.on('close', () => this.open.delete(req));
      req.on('error', reject);
      req.end(body);
    });
  }

  private async listen(port: number, answer: answerProbes.Answer): Promise<string> {
    const server = http.createServer(
      this.answersProbes ? answerProbes.answerProbes(answer) : answer,
    );
    await new Promise<void>((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    this.upstreams.set(address, server);
    this.t.teardown(() => this.closeUpstream(address));
    return address;
  }

  /** Disconnects every caller. */
  public disconnectCallers(): void {
    this.open.forEach((req) => req.destroy());
  }

  private async createEntry(
    hostId: string,
    metrics: telemetry.TextMetrics,
  ): Promise<gateway.EntryHost> {
    const isCuttable = this.canCut === 'first' ? hostId === 'entry' : this.canCut;
    const dialer = isCuttable ? new fakes.CutDialer() : undefined;
    if (dialer !== undefined) {
      await dialer.start();
      this.dialers.set(hostId, dialer);
      this.t.teardown(() => dialer.stop());
    }
    this.started += 1;
    const ip = `127.0.3.${this.started}`;
    return new gateway.EntryHost({
      settings: this.createWatch({
        ...this.createSettings(ip, false),
        hostId,
        callerAddress: '127.0.0.1:0',
        readyAddress: '127.0.0.1:0',
      }),
      wire: new testWires.TestWire(),
      codec: new testWires.TestCodec(),
      source: this.list,
      engines: this.engines,
      readyPath: '/ready',
      clock: this.clock,
      log: this.createLog(hostId),
      metrics,
      random: Math.random,
      dialer,
    });
  }

  private createSettings(ip: string, isFirstStart: boolean): gateway.HostSettings {
    return {
      hostId: ip,
      availabilityZone: 'a',
      regions: { a: 'north', b: 'south' },
      ipAddress: ip,
      peerPort: this.peerPort,
      seeds: ['127.0.1.1:1', '127.0.1.2:1', '127.0.1.3:1'],
      isFirstStart,
      dataFolder: path.join(this.folder, ip),
      lossesToBear: 1,
      listAddress: '127.0.0.1:1',
      listCallsPerS: 40,
      capacitySharing: this.capacitySharing,
      fileDescriptors: this.fileDescriptors,
      bounds: {
        reachMs: 3_000,
        acknowledgeMs: 4_000,
        leavingMs: 3_000,
        stopMs: 8_000,
        retryRatio: 0.2,
        retrySlack: 50,
        retryWindowMs: 10_000,
        coldOverage: 1.5,
        coldSlack: 5,
      },
    };
  }

  private createWatch(settings: gateway.HostSettings): gateway.SettingsWatcher {
    return new gateway.SettingsWatcher(
      { read: () => settings },
      this.clock,
      new schemas.SilentLog(),
    );
  }

  private createLog(host: string): schemas.Log {
    const add = (fields: object) => {
      this.lines.push({ host, ...fields });
    };
    return { debug: () => {}, info: add, warn: add, error: add };
  }
}

/**
 * Creates a configuration with routes for plain calls, for calls that may run once, and for long and short generations.
 */
export function createConfig(version: number): schemas.RoutedConfig {
  const common = {
    host: 'site.example',
    timeoutMs: 4_000,
    targetMs: 100,
    urgency: 0,
    isPublic: false,
    isStream: false,
    isGeneration: false,
  };
  return {
    version,
    routes: [
      {
        ...common,
        name: 'plain',
        pathPrefix: '/plain/',
        repeatability: 'idempotent',
        maxRuns: 2,
        targets: [{ service: 'app', weight: 1 }],
      },
      {
        ...common,
        name: 'once',
        pathPrefix: '/once/',
        repeatability: 'once',
        maxRuns: 1,
        targets: [{ service: 'app', weight: 1 }],
      },
      {
        ...common,
        name: 'drafts',
        pathPrefix: '/drafts/',
        repeatability: 'once',
        isStream: true,
        isGeneration: true,
        maxRuns: 1,
        targets: [{ service: 'engines', weight: 1 }],
      },
      {
        ...common,
        name: 'checks',
        pathPrefix: '/checks/',
        repeatability: 'idempotent',
        isStream: true,
        isGeneration: true,
        maxRuns: 2,
        targets: [{ service: 'engines', weight: 1 }],
      },
    ],
    services: [
      { name: 'app', healthPath: answerProbes.HEALTH_PATH, connectionLimit: 100 },
      {
        name: 'engines',
        healthPath: answerProbes.HEALTH_PATH,
        connectionLimit: 100,
        engine: {
          slots: 4,
          memoryTokens: 10_000,
          tokensPerEvent: 4,
          canMove: true,
          canBackUp: true,
        },
      },
    ],
    limits: {
      headerBytes: 8_192,
      bodyBytes: 10_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    teams: [{ name: 'sales', keys: ['k1'] }],
  };
}
