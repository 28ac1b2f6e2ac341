import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as daemons from '../src/daemon.js';
import * as deployments from './support/small-deployment.js';

const NAMES = ['a-1', 'b-1', 'c-1'] as const;

/** Time in which a majority that doesn't wait for the others would agree, in milliseconds. */
const MAJORITY_MS = 5_000;

/** Time by which a voter starts late, in milliseconds. */
const LATE_MS = 1_000;

/** Time within which an expected condition must become true, in milliseconds. */
const WAIT_TIMEOUT_MS = 20_000;

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** Voters in this process on real sockets, each with a disk of its own. */
class Voters {
  private readonly running = new Map<string, daemons.Daemon>();
  /** Every list of first voters that a daemon has ever taken for agreed, as JSON. */
  private readonly agreements = new Set<string>();

  private constructor(private readonly configs: ReadonlyMap<string, schemas.DaemonConfig>) {}

  /** Creates the settings of all voters; starts none. */
  public static async create(t: Teardown): Promise<Voters> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-test-'));
    const keysFile = path.join(folder, 'keys.json');
    const key = crypto.randomBytes(32).toString('base64');
    fs.writeFileSync(keysFile, JSON.stringify({ active: 'k1', keys: { k1: key } }));
    const reserved = await fakes.ReservedPorts.take(2 * NAMES.length);
    const ports = reserved.list();
    const peers = NAMES.map((daemonId, i) => ({
      daemonId,
      availabilityZone: daemonId.slice(0, 1),
      host: fakes.RESERVED_PORT_HOST,
      peerPort: ports[2 * i]!,
      callerPort: ports[2 * i + 1]!,
      voter: true,
    }));
    const configs = peers.map((entry) => {
      const cfg = schemas.daemonConfig.parse({
        ...entry,
        dataFolder: path.join(folder, entry.daemonId),
        peers,
        keysFile,
        operators: [{ operator: 'night', sha256: schemas.getSha256('token') }],
        timings: {
          heartbeatMs: 200,
          suspectMs: 700,
          electionMs: 300,
          leaseMs: 200,
          peerDeadlineMs: 500,
        },
      });
      return [entry.daemonId, cfg] as const;
    });
    const voters = new Voters(new Map(configs));
    t.teardown(async () => {
      NAMES.forEach((name) => voters.kill(name));
      reserved.release();
      await deployments.pause(50);
      fs.rmSync(folder, { recursive: true, force: true });
    });
    return voters;
  }

  /** Starts daemons with the disks that they have. */
  public async start(...names: readonly string[]): Promise<void> {
    const started = names.map((name) => {
      const log = new schemas.SilentLog();
      const daemon = new daemons.Daemon(this.configs.get(name)!, { log });
      this.running.set(name, daemon);
      return daemon.start();
    });
    await Promise.all(started);
  }

  /** Ends a daemon like a killed process. */
  public kill(name: string): void {
    this.running.get(name)?.kill();
    this.running.delete(name);
  }

  /** Ends a daemon and loses its disk. */
  public lose(name: string): void {
    this.kill(name);
    fs.rmSync(this.configs.get(name)!.dataFolder!, { recursive: true, force: true });
  }

  /** Cuts all links of a daemon, or restores all. */
  public cut(name?: string): void {
    this.running.forEach((daemon, id) =>
      daemon.simulatePartition((peer) => [id, peer].includes(name ?? ''), id === name),
    );
  }

  /** Returns the voter that leads. */
  public findLeader(): string | undefined {
    return [...this.running.keys()].find((name) =>
      this.running.get(name)!.control.voter?.isLeader(),
    );
  }

  /** Lists what the given daemons take for the first voters. */
  public listAgreed(...names: readonly string[]): (readonly string[])[] {
    return names.map((name) => {
      const { voters } = this.running.get(name)!.control.getGenesis();
      if (voters.length > 0) {
        this.agreements.add(JSON.stringify(voters));
      }
      return voters.map(({ daemonId }) => daemonId);
    });
  }

  /** Waits until all daemons know the first voters; returns how many lists of them there have been. */
  public async countAgreements(): Promise<number> {
    await waitUntil('first voters', () =>
      this.listAgreed(...this.running.keys()).every((voters) => voters.length > 0),
    );
    return this.agreements.size;
  }
}

async function waitUntil(what: string, isMet: () => boolean): Promise<void> {
  const end = Date.now() + WAIT_TIMEOUT_MS;
  while (!isMet()) {
    if (Date.now() > end) {
      throw new Error(`timed out waiting for ${what}`);
    }
    await deployments.pause(20);
  }
}

// Guards against a second log, founded by a voter that starts late and one whose disk was lost, while the third is cut off.
void tap.default.test('a late voter and one without its disk found no second log', async (t) => {
  const voters = await Voters.create(t);
  await voters.start('b-1', 'c-1');
  await deployments.pause(MAJORITY_MS);
  voters.listAgreed('b-1', 'c-1');
  voters.lose('b-1');
  voters.cut('c-1');
  await voters.start('a-1', 'b-1');
  await deployments.pause(MAJORITY_MS);
  voters.listAgreed('a-1', 'b-1', 'c-1');
  voters.cut();
  t.equal(await voters.countAgreements(), 1, 'one list of first voters');
});

// Guards against a second log, founded by two voters whose disks were lost, while the third can't be asked.
void tap.default.test('two voters without their disks found no second log', async (t) => {
  const voters = await Voters.create(t);
  await voters.start(...NAMES);
  t.equal(await voters.countAgreements(), 1);
  await waitUntil('a leader', () => voters.findLeader() !== undefined);
  voters.cut('c-1');
  ['a-1', 'b-1'].forEach((name) => voters.lose(name));
  await voters.start('a-1', 'b-1');
  await deployments.pause(MAJORITY_MS);
  t.same(voters.listAgreed('a-1', 'b-1'), [[], []], 'they wait');
  voters.cut();
  t.equal(await voters.countAgreements(), 1, 'the log stays that of before');
  t.equal(voters.findLeader(), undefined, 'which has lost its majority');
});

// Guards against a log that is never founded, since a voter starts late and another one restarts meanwhile.
void tap.default.test('voters that start late or restart found a log', async (t) => {
  for (const late of NAMES) {
    await t.test(`${late} is late`, async (tt) => {
      const voters = await Voters.create(tt);
      const [first, second] = NAMES.filter((name) => name !== late);
      await voters.start(first!, second!);
      await deployments.pause(LATE_MS);
      voters.kill(second!);
      await voters.start(second!, late);
      tt.equal(await voters.countAgreements(), 1, 'one list of first voters');
      await waitUntil('a leader', () => voters.findLeader() !== undefined);
    });
  }
});
