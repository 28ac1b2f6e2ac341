import * as dgram from 'node:dgram';

import * as intents from '@bramleyridge/intents';
import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as daemonMetrics from '../src/metrics.js';
import * as poolManagers from '../src/pool-manager.js';

const settings = {
  daemonId: 'd1',
  availabilityZone: 'a',
  callerPort: 0,
  peerPort: 0,
  keysFile: 'k',
  operators: [{ operator: 'o', sha256: '0'.repeat(64) }],
};

function createUpstream(upstreamId: string): schemas.Upstream {
  return {
    upstreamId,
    kind: 'engine',
    availabilityZone: 'a',
    url: 'http://127.0.0.1:1',
    state: 'live',
    checksFencing: true,
  };
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
    prefix: 'p',
    waitedMs: 0,
    patienceMs: 1_000,
    excluded: [],
  };
}

function createReport(at: number, cache: schemas.LoadReport['cache']): schemas.LoadReport {
  return {
    at,
    ageMs: 0,
    tokensTotal: 65_536,
    tokensUsed: 0,
    running: 0,
    waiting: 0,
    preemptions: 0,
    state: 'live',
    models: [{ model: 'm', version: 'v1' }],
    cache,
  };
}

void tap.default.test(
  'a prompt is routed to the engine that caches its prefix, until cache events are missed',
  async (t) => {
    // Engines report the contents of their caches with a delay. Events missed in a gap may include
    // the removal of a prefix, so the owner drops all entries of that engine; a wrong entry would
    // cost one prefill.
    const clock = new schemas.VirtualClock();
    const caches = new Map<string, schemas.LoadReport['cache']>([
      ['e2', { first: 0, events: [{ prefix: 'p', isStored: true }] }],
    ]);
    let at = 0;
    const getJson = async ({ upstreamId }: schemas.Upstream): Promise<schemas.LoadReport> => {
      at += 1;
      const cache = caches.get(upstreamId);
      caches.delete(upstreamId);
      return createReport(at, cache);
    };
    const configuration = intents.createEmptyConfiguration();
    configuration.declaration.teams.push({
      name: 'sales',
      weight: 1,
      maxConcurrent: 100,
      maxQueued: 100,
    } as schemas.Team);
    const manager = new poolManagers.PoolManager({
      cfg: schemas.daemonConfig.parse(settings),
      view: {
        getDirectory: () => ({ upstreams: ['e1', 'e2', 'e3'].map(createUpstream) }),
      } as never,
      store: { get: () => configuration } as never,
      engines: { getJson } as never,
      clock,
      log: new schemas.SilentLog(),
    });
    void manager.run();
    t.match(await manager.grant('m', createRequest('g1')), { upstreamId: 'e2', reason: 'prefix' });
    caches.set('e2', { first: 9, events: [{ prefix: 'other', isStored: true }] });
    await clock.advance(1_000);
    t.match(
      await manager.grant('m', createRequest('g2')),
      { reason: 'room' },
      'after missed events',
    );
    manager.stop();
  },
);

void tap.default.test('metrics are sent only when a receiver is configured', async (t) => {
  const receiver = dgram.createSocket('udp4');
  t.teardown(() => receiver.close());
  await new Promise<void>((resolve) => {
    receiver.bind(0, '127.0.0.1', resolve);
  });
  const got = new Promise<string>((resolve) => {
    receiver.once('message', (message) => resolve(message.toString('utf8')));
  });
  const { port } = receiver.address();
  const disabled = new daemonMetrics.Metrics(schemas.daemonConfig.parse(settings));
  disabled.count('requests');
  const enabled = new daemonMetrics.Metrics(
    schemas.daemonConfig.parse({ ...settings, statsd: { host: '127.0.0.1', port } }),
  );
  enabled.count('requests', { outcome: 'complete' });
  t.match(await got, /^bramleyridge\.requests:1\|c\|#.*outcome:complete/);
  enabled.close();
});
