import * as placement from '@bramleyridge/placement';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const LEASE_MS = 400;

function createUpstream(upstreamId: string, checksFencing: boolean): schemas.Upstream {
  return {
    upstreamId,
    kind: 'engine',
    availabilityZone: 'a',
    url: 'http://127.0.0.1:1',
    state: 'live',
    checksFencing,
  };
}

function createObserved(
  upstreamId: string,
  versions: readonly string[],
  isLeaving = false,
): placement.ObservedUpstream {
  return {
    upstream: createUpstream(upstreamId, true),
    isLeaving,
    models: versions.map((version) => ({ model: 'm', version })),
  };
}

function createDeclaration(version: string, upstreamsPerZone = 1): schemas.Declaration {
  return schemas.createDeclaration([
    {
      kind: 'intent',
      name: 'i',
      model: 'm',
      version,
      teams: ['t'],
      availabilityZones: ['a'],
      upstreamsPerZone,
      room: 1_000,
      overflowRisk: 0.05,
    },
  ]);
}

function listSteps(
  declaration: schemas.Declaration,
  observed: readonly placement.ObservedUpstream[],
) {
  const desired = placement.getDesiredReplicas(declaration, observed);
  return placement
    .planReconcileSteps(desired, observed)
    .map(({ action, slot }) => `${action} ${slot.version} on ${slot.upstreamId}`);
}

void tap.default.test('steps depend on the latest state only', async (t) => {
  const cases = [
    { name: 'no model is loaded', observed: [createObserved('e1', [])], steps: ['load v9 on e1'] },
    {
      name: 'the old version stays until the new one is observed',
      observed: [createObserved('e1', ['v1'])],
      steps: ['load v9 on e1'],
    },
    {
      name: 'the new version is observed',
      observed: [createObserved('e1', ['v1', 'v9'])],
      steps: ['unload v1 on e1'],
    },
    { name: 'the desired state is reached', observed: [createObserved('e1', ['v9'])], steps: [] },
    {
      name: 'a leaving upstream is replaced and gets no order',
      observed: [createObserved('e1', ['v9'], true), createObserved('e2', [])],
      steps: ['load v9 on e2'],
    },
  ];
  cases.forEach(({ name, observed, steps }) => {
    t.same(listSteps(createDeclaration('v9'), observed), steps, name);
  });
});

interface Engine {
  readonly accepted: string[];
  highestTerm: number;
}

/** Engines on virtual time that receive orders after a delay. */
class Engines {
  public readonly byId = new Map<string, Engine>();

  public constructor(
    private readonly clock: schemas.VirtualClock,
    private readonly delayMs: number,
  ) {}

  public async take(
    upstream: schemas.Upstream,
    order: schemas.Order,
    deadlineMs: number,
  ): Promise<number> {
    await this.clock.sleep(Math.min(this.delayMs, deadlineMs));
    const engine = this.byId.get(upstream.upstreamId) ?? { accepted: [], highestTerm: 0 };
    this.byId.set(upstream.upstreamId, engine);
    if (upstream.checksFencing && order.fencing.term < engine.highestTerm) {
      return 409;
    }
    engine.highestTerm = Math.max(engine.highestTerm, order.fencing.term);
    engine.accepted.push(`${order.fencing.term}@${this.clock.now()}`);
    return 200;
  }
}

function createSender(
  clock: schemas.VirtualClock,
  engines: Engines,
  term: number,
  startedAt: number,
  leaseEnd: () => number,
): placement.OrderSender {
  return new placement.OrderSender({
    authority: {
      isLeaseHeld: (ms) => clock.now() + ms < leaseEnd(),
      getFencing: () => ({ term, index: 1 }),
      startedAt,
    },
    clock,
    log: new schemas.SilentLog(),
    leaseMs: LEASE_MS,
    send: (upstream, order, deadlineMs) => engines.take(upstream, order, deadlineMs),
  });
}

void tap.default.test(
  'an engine accepts no order of an old leader after one of its successor',
  async (t) => {
    // The old leader is partitioned at 1,000 ms and does not step down; its lease ends at 1,400 ms. The new one is
    // elected at 1,500 ms. The engine without fencing must not accept an order of the old one after one of the new one.
    const clock = new schemas.VirtualClock();
    const engines = new Engines(clock, 150);
    const both = [createUpstream('checks', true), createUpstream('ignores', false)];
    const upstreams = new Map(both.map((item) => [item.upstreamId, item]));
    const old = createSender(clock, engines, 1, -10_000, () => 1_400);
    const successor = createSender(clock, engines, 2, 1_500, () => Infinity);
    const sendOrders = async (sender: placement.OrderSender, from: number) => {
      await clock.sleep(from);
      for (let i = 0; i < 40; i += 1) {
        const steps = both.map(({ upstreamId }): placement.ReconcileStep => ({
          action: 'unload',
          slot: { upstreamId, model: 'm', version: `v${i}` },
          reason: 'test',
        }));
        await sender.run(steps, upstreams);
        await clock.sleep(50);
      }
    };
    void sendOrders(old, 0);
    void sendOrders(successor, 1_500);
    await clock.advance(20_000);
    both.forEach(({ upstreamId }) => {
      const terms = engines.byId
        .get(upstreamId)!
        .accepted.map((item) => Number(item.split('@')[0]));
      t.ok(terms.includes(1) && terms.includes(2), `${upstreamId} accepted orders of both`);
      t.same(terms, [...terms].sort(), `${upstreamId} accepted none of the old leader afterwards`);
    });
    const first = engines.byId.get('ignores')!.accepted.find((item) => item.startsWith('2@'))!;
    t.ok(Number(first.split('@')[1]) >= 1_500 + LEASE_MS, `the successor waited: ${first}`);
  },
);

void tap.default.test(
  'loads start no faster than the weight store allows, also after a change of leader',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const limiter = new placement.ModelLoadLimiter(clock, 4, 8);
    t.notOk(limiter.take(), 'a new leader starts with an empty bucket');
    let started = 0;
    for (let i = 0; i < 100; i += 1) {
      await clock.advance(100);
      started += limiter.take() ? 1 : 0;
    }
    t.ok(started <= 4 * 10, `${started} loads in 10 s`);
  },
);
