import type * as http from 'node:http';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as evacuationServices from '../src/evacuation-service.js';
import * as leaderClients from '../src/leader-client.js';
import * as sites from './support/small-site.js';

class Upstreams {
  /** The upstreams that calls reached, in order. */
  public readonly reached: string[] = [];
  public readonly addresses = new Map<string, string>();

  public constructor(private readonly site: sites.SmallSite) {}

  public async add(name: string, service: string, zone: string): Promise<void> {
    const answer = (req: http.IncomingMessage, res: http.ServerResponse) => {
      this.reached.push(name);
      res.writeHead(200, { 'call-id': req.headers['call-id'] });
      if (req.url!.startsWith('/drafts')) {
        // The generation runs until its engine exits.
        res.write('id: 1\ndata: x\n\n');
        return;
      }
      res.end(req.url!.startsWith('/checks') ? 'id: 1\ndata: x\n\n' : 'ok');
    };
    this.addresses.set(name, await this.site.addUpstream(name, service, answer, zone));
  }

  public clear(): void {
    this.reached.length = 0;
  }
}

async function createSite(t: tap.Test) {
  const site = new sites.SmallSite(t);
  site.answersProbes = true;
  await site.start(3);
  const upstreams = new Upstreams(site);
  for (const zone of ['a', 'b']) {
    await upstreams.add(`app-${zone}`, 'app', zone);
    await upstreams.add(`engine-${zone}`, 'engines', zone);
  }
  await site.declare({});
  await waitLive(site, 4);
  return { site, upstreams };
}

async function waitLive(site: sites.SmallSite, count: number): Promise<void> {
  await site.until('in force', () => {
    const hosts = [site.entry, ...site.others.map(({ host }) => host)];
    return hosts.every((host) => host.isReady() && host.directory.countLive() === count);
  });
}

async function callAll(site: sites.SmallSite): Promise<number[]> {
  const statuses: number[] = [];
  for (let i = 0; i < 6; i += 1) {
    for (const target of ['/plain/x', '/once/x', '/checks/x']) {
      const headers = { 'call-id': `c${i}${target}`, tokens: '40' };
      const res = await site.call(target, headers);
      statuses.push(res.status);
    }
  }
  return [...new Set(statuses)];
}

// Guards against calls of any kind that reach a zone after its evacuation is in force.
void tap.default.test('an evacuated zone gets no calls until its evacuation ends', async (t) => {
  const { site, upstreams } = await createSite(t);
  await site.evacuate('a', true);
  await waitLive(site, 2);
  upstreams.clear();
  t.same(await callAll(site), [200]);
  t.same([...new Set(upstreams.reached)].sort(), ['app-b', 'engine-b']);

  await t.test('a resend at another host changes nothing', async (t2) => {
    await site.evacuate('a', true, '127.0.1.2');
    t2.equal(site.entry.directory.countLive(), 2);
  });

  await site.evacuate('a', false, '127.0.1.3');
  await waitLive(site, 4);
  upstreams.clear();
  t.same(await callAll(site), [200]);
  t.ok(upstreams.reached.includes('app-a'), 'it gets calls again');
});

// Guards against an evacuation that is lost with the memory of all hosts.
void tap.default.test('an evacuation survives a power failure of all hosts', async (t) => {
  const { site, upstreams } = await createSite(t);
  await site.evacuate('b', true);
  await site.powerCycle();
  await waitLive(site, 2);
  upstreams.clear();
  t.same(await callAll(site), [200]);
  t.same([...new Set(upstreams.reached)].sort(), ['app-a', 'engine-a']);
  const line = site.lines.find(({ event }) => event === 'evacuations-in-force');
  t.match(line, { zones: ['b'] });
});

// Guards against a generation that continues from a backup in an evacuated zone.
void tap.default.test(
  'a generation does not continue from a backup in an evacuated zone',
  async (t) => {
    const { site, upstreams } = await createSite(t);
    const ended = site.call('/drafts/x', { tokens: '400' }, 'write').then(
      () => 'complete',
      () => 'broken',
    );
    await site.until('started', () => upstreams.reached.length === 1);
    const [engine] = upstreams.reached;
    const backupZone = engine === 'engine-a' ? 'b' : 'a';
    t.match(
      site.lines.find(({ decision }) => decision === 'route'),
      { copyAt: `engine-${backupZone}` },
      'its backup is in the other zone',
    );
    await site.evacuate(backupZone, true);
    await waitLive(site, 2);
    site.closeUpstream(upstreams.addresses.get(engine!)!);
    t.equal(await ended, 'broken');
    t.same(upstreams.reached, [engine]);
  },
);

// Guards against paths to an upstream that skip the selection of those that accept work: the last step before a send
// checks again.
void tap.default.test('nothing is sent to an evacuated zone, whatever selected it', async (t) => {
  const { site, upstreams } = await createSite(t);
  await site.evacuate('a', true);
  await site.evacuate('b', true);
  await waitLive(site, 0);
  const { directory } = site.entry;
  const names = [...upstreams.addresses.keys()];
  directory.listLive = (service) =>
    names.map((name) => directory.find(name)!).filter(({ listed }) => listed.service === service);
  upstreams.clear();
  for (const target of ['/plain/x', '/once/x']) {
    t.equal((await site.call(target)).status, 503, target);
  }
  t.same(upstreams.reached, []);
});

// Guards against calls that run in a region that their route or team does not allow.
void tap.default.test('calls stay in the regions of their route and team', async (t) => {
  const { site, upstreams } = await createSite(t);
  const config = sites.createConfig(1);
  const bind = async (ofRoutes: string[] | undefined, ofTeam: string[] | undefined) => {
    const version = await site.declare({
      routes: config.routes.map((route) => ({ ...route, regions: ofRoutes })),
      teams: [{ name: 'sales', keys: ['k1'], regions: ofTeam }],
    });
    await site.until('in force', () => site.entry.store.getVersion() === version);
    upstreams.clear();
    const statuses = await callAll(site);
    return { statuses, reached: [...new Set(upstreams.reached)].sort() };
  };
  const southern = ['app-b', 'engine-b'];
  t.same(await bind(['south'], undefined), { statuses: [200], reached: southern });
  t.same(await bind(undefined, ['south']), { statuses: [200], reached: southern });
  t.same(await bind(['north', 'south'], ['south']), { statuses: [200], reached: southern });
  t.same(await bind(['north'], ['south']), { statuses: [503], reached: [] }, 'both apply');
  t.same(await bind(['east'], undefined), { statuses: [503], reached: [] });
});

// Guards against calls that are held, or sent, while all zones of their service are evacuated.
void tap.default.test('with all zones evacuated calls are refused at once', async (t) => {
  const { site, upstreams } = await createSite(t);
  await site.evacuate('a', true);
  await site.evacuate('b', true);
  await waitLive(site, 0);
  upstreams.clear();
  for (const target of ['/plain/x', '/once/x', '/checks/x']) {
    const res = await site.call(target, { tokens: '40' });
    t.equal(res.status, 503, target);
    t.ok(Number(res.headers['retry-after']) > 0);
  }
  t.same(upstreams.reached, []);
  t.ok(
    site.lines.some(({ decision, reason }) => decision === 'no-upstream' && reason === 'evacuated'),
  );
});

void tap.default.test('an order on an unknown zone is refused', async (t) => {
  const orders = new evacuationServices.EvacuationService({
    group: {} as never,
    leader: {} as never,
    listZones: () => ['a', 'b'],
    clock: new schemas.VirtualClock(),
    log: new schemas.SilentLog(),
  });
  const { signal } = new AbortController();
  await t.rejects(orders.setEvacuated('c', true, signal), { options: { status: 404 } } as never);
});

function createRacingService(results: ('changed' | 'stale')[]) {
  const clock = new schemas.VirtualClock();
  const state = { zones: [] as string[], revision: 4, proposed: 0 };
  const leader = {
    request: async (
      _here: unknown,
      there: (api: unknown, options: unknown) => Promise<unknown>,
      _ms: number,
      signal: AbortSignal,
    ) => {
      signal.throwIfAborted();
      return there(
        {
          readEvacuations: { mutate: async () => Promise.resolve({ ...state }) },
          evacuate: {
            mutate: async () => {
              state.proposed += 1;
              const result = results.shift() ?? 'stale';
              state.revision += 1;
              state.zones = result === 'changed' ? ['a'] : state.zones;
              await clock.sleep(300);
              return result;
            },
          },
        },
        {},
      );
    },
  };
  const orders = new evacuationServices.EvacuationService({
    group: {} as never,
    leader: leader as never,
    listZones: () => undefined,
    clock,
    log: new schemas.SilentLog(),
  });
  return { clock, orders, state };
}

// Guards against an acknowledged order that a concurrent order of another operator kept out of the log.
void tap.default.test(
  'an order that lost a race is proposed again, or refused in time',
  async (t) => {
    const { signal } = new AbortController();
    const won = createRacingService(['stale', 'changed']);
    const ordered = won.orders.setEvacuated('a', true, signal);
    await won.clock.advance(1_000);
    t.match(await ordered, { zones: ['a'] });
    t.equal(won.state.proposed, 2);

    const lost = createRacingService([]);
    const refused = t.rejects(lost.orders.setEvacuated('a', true, signal), {
      options: { status: 503 },
    } as never);
    await lost.clock.advance(3_000);
    await refused;
  },
);

// Guards against an order that is sent to one core host after another although its operator has disconnected.
void tap.default.test(
  'no further request is sent for an operator who has disconnected',
  async (t) => {
    const clock = new schemas.VirtualClock();
    const contacted: string[] = [];
    const gone = new AbortController();
    const api = (coreId: string) => ({
      evacuate: async () => {
        contacted.push(coreId);
        gone.abort(new Error('left'));
        return Promise.reject(new Error('not the leader'));
      },
    });
    const client = new leaderClients.LeaderClient({
      coreId: 'c1',
      group: { voter: undefined } as never,
      registry: { leaderHint: undefined, listOthers: () => ['c2', 'c3'] } as never,
      mesh: { get: api } as never,
      clock,
      log: new schemas.SilentLog(),
    });
    const here = async () => Promise.reject(new Error('not here'));
    await t.rejects(
      client.request(
        here,
        async (other) => (other as unknown as ReturnType<typeof api>).evacuate(),
        1_000,
        gone.signal,
      ),
      { message: 'left' },
    );
    t.same(contacted, ['c2']);
  },
);

// Guards against an order that a paused host executes after its operator has revoked it through another host.
void tap.default.test('an order whose operator has disconnected is not executed', async (t) => {
  const { orders, state } = createRacingService(['changed']);
  const gone = new AbortController();
  gone.abort(new Error('left'));
  await t.rejects(orders.setEvacuated('a', true, gone.signal));
  t.equal(state.proposed, 0);
});
