import * as intents from '@bramleyridge/intents';
import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as poolManagers from '../src/pool-manager.js';

const MODEL = 'm';

/** Number of requests at a time. */
const REQUESTS = 4;

/** Time in which the loads of engines are read once more, in milliseconds. */
const POLL_MS = 600;

const settings = {
  daemonId: 'd1',
  availabilityZone: 'a',
  callerPort: 0,
  peerPort: 0,
  keysFile: 'k',
  operators: [{ operator: 'o', sha256: '0'.repeat(64) }],
};

/** The first engine is empty, so that it gets the work until it leaves. */
function createReport(upstreamId: string): schemas.LoadReport {
  const isEmpty = upstreamId === 'e1';
  return {
    at: 1,
    ageMs: 0,
    tokensTotal: 65_536,
    tokensUsed: isEmpty ? 0 : 30_000,
    running: isEmpty ? 0 : 10,
    waiting: 0,
    preemptions: 0,
    state: 'live',
    models: [{ model: MODEL, version: 'v1' }],
  };
}

/** The pools of one daemon with two engines; the second one answers late if wanted. */
class TwoEngines {
  public readonly clock = new schemas.VirtualClock();
  public readonly manager: poolManagers.PoolManager;
  public isSlow = false;
  private isLeaving = false;
  private readonly late: (() => void)[] = [];
  private count = 0;

  public constructor() {
    const configuration = intents.createEmptyConfiguration();
    configuration.declaration.teams.push({
      name: 'sales',
      weight: 1,
      maxConcurrent: 100,
      maxQueued: 100,
    } as schemas.Team);
    this.manager = new poolManagers.PoolManager({
      cfg: schemas.daemonConfig.parse(settings),
      view: { getDirectory: () => ({ upstreams: this.listUpstreams() }) } as never,
      store: { get: () => configuration } as never,
      engines: { getJson: (upstream: schemas.Upstream) => this.read(upstream) } as never,
      clock: this.clock,
      log: new schemas.SilentLog(),
    });
  }

  /** Lists the first engine as leaving. */
  public leave(): void {
    this.isLeaving = true;
  }

  /** Answers what the second engine was asked. */
  public answerLate(): void {
    this.isSlow = false;
    this.late.splice(0).forEach((answer) => answer());
  }

  /** Requests capacity for some calls and returns the engines that were granted. */
  public async listGranted(): Promise<string[]> {
    const granted: string[] = [];
    for (let i = 0; i < REQUESTS; i += 1) {
      this.count += 1;
      const { upstreamId } = await this.manager.grant(MODEL, createRequest(`g${this.count}`));
      granted.push(upstreamId ?? 'none');
    }
    return granted;
  }

  private listUpstreams(): schemas.Upstream[] {
    return ['e1', 'e2'].map((upstreamId) => ({
      upstreamId,
      kind: 'engine',
      availabilityZone: 'a',
      url: 'http://127.0.0.1:1',
      state: this.isLeaving && upstreamId === 'e1' ? 'leaving' : 'live',
      checksFencing: true,
    }));
  }

  private async read({ upstreamId }: schemas.Upstream): Promise<schemas.LoadReport> {
    if (this.isSlow && upstreamId === 'e2') {
      await new Promise<void>((resolve) => {
        this.late.push(resolve);
      });
    }
    return createReport(upstreamId);
  }
}

function createRequest(generation: string): routing.GrantRequest {
  return {
    generation,
    daemonId: 'd1',
    team: 'sales',
    intent: 'i',
    workClass: 'interactive',
    promptTokens: 100,
    maxTokens: 20,
    prefix: generation,
    waitedMs: 0,
    patienceMs: 1_000,
    excluded: [],
  };
}

// Guards against new work at an engine that is listed as leaving while another engine is slow to report its load.
void tap.default.test('an engine leaves while another one answers late', async (t) => {
  const pools = new TwoEngines();
  void pools.manager.run();
  t.teardown(() => pools.manager.stop());
  await pools.listGranted();
  await pools.clock.advance(POLL_MS);
  t.ok((await pools.listGranted()).includes('e1'), 'it gets work before');
  pools.isSlow = true;
  await pools.clock.advance(POLL_MS);
  pools.leave();
  t.notOk((await pools.listGranted()).includes('e1'), 'none as soon as it is listed as leaving');
  await pools.clock.advance(POLL_MS);
  t.notOk((await pools.listGranted()).includes('e1'), 'none later');
  pools.answerLate();
  await pools.clock.advance(1);
  t.notOk((await pools.listGranted()).includes('e1'), 'none once the late answers have come');
});
