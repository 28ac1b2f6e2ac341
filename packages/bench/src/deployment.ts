import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';

import * as children from './child.js';

/** Topology and settings of a deployment on loopback. */
export interface DeploymentShape {
  readonly folder: string;
  readonly zones: readonly string[];
  readonly daemonsPerZone: number;
  readonly voters: number;
  readonly enginesPerZone: number;
  readonly services: readonly string[];
  readonly models: readonly { readonly model: string; readonly version: string }[];
  readonly tokensTotal: number;
  readonly speed: number;
  readonly timings?: Partial<schemas.DaemonConfig['timings']>;
  readonly limits?: Partial<schemas.DaemonConfig['limits']>;
  /** URL of a platform that is already running; no test doubles are started then. */
  readonly platformUrl?: string;
  readonly logLevel?: schemas.DaemonConfig['logLevel'];
  /** Arguments of Node.js for each daemon. */
  readonly nodeArgs?: readonly string[];
}

/** One daemon of a deployment. */
export interface DeployedDaemon {
  readonly entry: schemas.DaemonEntry;
  readonly configFile: string;
  child: children.Child;
}

/** Operator token of every deployment that the bench starts. */
export const OPERATOR_TOKEN = 'example-operator-token';

/** Daemons and test doubles as real processes on loopback. */
export class Deployment {
  public daemons: DeployedDaemon[] = [];
  public upstreams: schemas.Upstream[] = [];
  public platformUrl = '';
  private fakesProcess: children.Child | undefined;
  private reservedPorts: fakes.ReservedPorts | undefined;

  public constructor(private readonly shape: DeploymentShape) {}

  /** Starts the test doubles, writes the settings and keys, and starts every daemon. */
  public async start(): Promise<void> {
    const { folder } = this.shape;
    fs.mkdirSync(folder, { recursive: true });
    if (this.shape.platformUrl === undefined) {
      await this.startFakes();
    } else {
      this.platformUrl = this.shape.platformUrl;
    }
    const entries = await this.createEntries();
    const keysFile = path.join(folder, 'keys.json');
    const secret = crypto.randomBytes(32).toString('base64');
    fs.writeFileSync(keysFile, JSON.stringify({ active: 'k1', keys: { k1: secret } }));
    this.daemons = entries.map((entry) => {
      const configFile = path.join(folder, `${entry.daemonId}.json`);
      fs.writeFileSync(
        configFile,
        JSON.stringify(this.createConfig(entry, entries, keysFile), null, 2),
      );
      return { entry, configFile, child: this.spawn(entry.daemonId, configFile) };
    });
  }

  /** Returns the caller-facing URL of a daemon. */
  public getUrl(index: number): string {
    const entry = this.daemons[index]?.entry;
    return `http://${entry?.host}:${entry?.callerPort}`;
  }

  /** Lists the caller-facing URLs of all daemons. */
  public listUrls(): string[] {
    return this.daemons.map((_, i) => this.getUrl(i));
  }

  /** Restarts a daemon with the same settings and data folder. */
  public restart(index: number): void {
    const daemon = this.daemons[index]!;
    daemon.child = this.spawn(daemon.entry.daemonId, daemon.configFile);
  }

  /** Runs `bramleyctl` against the deployment. */
  public runCtl(
    ...args: string[]
  ): Promise<{ code: number | null; stdout: string; stderr: string }> {
    return children.runProgram([children.getProgram('cli', 'bramleyctl.js'), ...args], {
      BRAMLEYRIDGE_URL: this.listUrls().join(','),
      BRAMLEYRIDGE_TOKEN: OPERATOR_TOKEN,
    });
  }

  /** Runs `bramleyctl`, returns its stdout, and throws when its exit code is not 0. */
  public async runCtlOrThrow(...args: string[]): Promise<string> {
    const { code, stdout, stderr } = await this.runCtl(...args);
    if (code !== 0) {
      throw new Error(`bramleyctl ${args.join(' ')} exited with ${code}: ${stderr}${stdout}`);
    }
    return stdout;
  }

  /** Plans and confirms a folder's declaration, waits until it is in force on every host and returns its revision. */
  public async apply(folder: string): Promise<number> {
    const planned = JSON.parse(await this.runCtlOrThrow('plan', '-f', folder, '--json')) as {
      plan: schemas.Plan;
    };
    const confirmed = JSON.parse(
      await this.runCtlOrThrow('confirm', planned.plan.planId, '--json'),
    ) as {
      revision: number;
    };
    await this.runCtlOrThrow('status', '--wait', String(confirmed.revision));
    return confirmed.revision;
  }

  /** Waits until every daemon reports that it is ready. */
  public async waitReady(timeoutMs: number): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    for (const url of this.listUrls()) {
      while (!(await isReady(url))) {
        if (Date.now() > deadline) {
          throw new Error(`${url} is not ready after ${timeoutMs} ms`);
        }
        await pause(50);
      }
    }
  }

  /** Stops every running daemon gracefully and returns the exit codes. */
  public async stopDaemons(): Promise<(number | null)[]> {
    const running = this.daemons.filter((daemon) => !daemon.child.hasExited());
    return Promise.all(running.map((daemon) => daemon.child.stop()));
  }

  /** Kills the remaining daemons and the test doubles, and releases the reserved ports. */
  public async end(): Promise<void> {
    const remaining = this.daemons.filter((daemon) => !daemon.child.hasExited());
    await Promise.all(remaining.map((daemon) => daemon.child.kill()));
    await this.fakesProcess?.kill();
    this.reservedPorts?.release();
  }

  private async startFakes(): Promise<void> {
    const { enginesPerZone, folder, models, services, speed, tokensTotal, zones } = this.shape;
    const file = path.join(folder, 'fakes.json');
    const cfg = {
      platformLagMs: 300,
      zones: zones.map((availabilityZone) => ({
        availabilityZone,
        engines: enginesPerZone,
        services,
      })),
      models,
      tokensTotal,
      speed,
      reportLagMs: 200,
    };
    fs.writeFileSync(file, JSON.stringify(cfg));
    const program = children.getProgram('fakes', 'fakes-main.js');
    this.fakesProcess = new children.Child([program, file], path.join(folder, 'fakes.log'));
    const started = JSON.parse(await this.fakesProcess.getFirstLine()) as {
      platformUrl: string;
      upstreams: schemas.Upstream[];
    };
    this.platformUrl = started.platformUrl;
    this.upstreams = started.upstreams;
  }

  private async createEntries(): Promise<schemas.DaemonEntry[]> {
    const { daemonsPerZone, voters, zones } = this.shape;
    this.reservedPorts = await fakes.ReservedPorts.take(2 * zones.length * daemonsPerZone);
    const ports = this.reservedPorts.list();
    return Array.from({ length: daemonsPerZone }, (_, row) =>
      zones.map((availabilityZone, column) => {
        const index = row * zones.length + column;
        return {
          daemonId: `${availabilityZone}-${row + 1}`,
          availabilityZone,
          host: fakes.RESERVED_PORT_HOST,
          peerPort: ports[2 * index]!,
          callerPort: ports[2 * index + 1]!,
          voter: index < voters,
        };
      }),
    ).flat();
  }

  private createConfig(
    entry: schemas.DaemonEntry,
    entries: readonly schemas.DaemonEntry[],
    keysFile: string,
  ): object {
    const { folder, limits, logLevel, timings } = this.shape;
    const { daemonId, availabilityZone, host, callerPort, peerPort, voter } = entry;
    const seeds = entries.filter((o) => o.voter || o.availabilityZone === availabilityZone);
    return {
      daemonId,
      availabilityZone,
      host,
      callerPort,
      peerPort,
      voter,
      ...(voter ? { dataFolder: path.join(folder, 'data', daemonId) } : {}),
      peers: seeds,
      keysFile,
      operators: [{ operator: 'example', sha256: schemas.getSha256(OPERATOR_TOKEN) }],
      platformUrl: this.platformUrl,
      logLevel: logLevel ?? 'info',
      ...(limits === undefined ? {} : { limits }),
      ...(timings === undefined ? {} : { timings }),
    };
  }

  private spawn(daemonId: string, configFile: string): children.Child {
    const program = children.getProgram('daemon', 'bramleyridged.js');
    const logFile = path.join(this.shape.folder, `${daemonId}.log`);
    return new children.Child([program, '--config', configFile], logFile, this.shape.nodeArgs);
  }
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function isReady(url: string): Promise<boolean> {
  try {
    return (await fetch(`${url}/readyz`)).status === 200;
  } catch {
    return false;
  }
}
