import * as http from 'node:http';
import type * as net from 'node:net';
import * as stream from 'node:stream';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as completionDispatchers from '../src/completion-dispatcher.js';
import * as serviceCallHandlers from '../src/service-call-handler.js';

const TEAM = { name: 'sales', availabilityZones: ['a'] };

/** Two upstreams of one service, and what a daemon sends to them; it waits for something between the choice and the send. */
class Sends {
  public readonly sent: string[] = [];
  /** Called when an upstream was chosen and nothing was sent. */
  public onChosen = (): void => {};
  /** Number of the next calls to services for which no connection is made. */
  public unreachable = 0;
  private readonly leaving = new Set<string>();

  public constructor(private readonly upstreamIds = ['u1', 'u2']) {}

  public leave(upstreamId: string): void {
    this.leaving.add(upstreamId);
  }

  public listUpstreams() {
    return this.upstreamIds.map((upstreamId) => ({
      upstreamId,
      service: 'booking',
      state: this.leaving.has(upstreamId) ? 'leaving' : 'live',
    }));
  }

  /** Creates what a handler needs; the first upstream is chosen unless it is excluded or listed as leaving. */
  public createContext() {
    const clock = new schemas.SystemClock();
    return {
      access: { authenticate: () => TEAM, checkZoneAllowed: () => {} },
      budget: { recordRequest: () => {}, take: () => false },
      callPrefix: 'd1.',
      calls: { open: () => {}, set: () => {} },
      cfg: {
        availabilityZone: 'a',
        daemonId: 'd1',
        limits: {
          queueMs: 1_000,
          bodyTimeoutMs: 1_000,
          bodyBytes: 1_000,
          upstreamSilenceMs: 60_000,
        },
      },
      clock,
      decisions: { record: () => {} },
      engines: {
        getProcess: () => undefined,
        start: ({ upstreamId }: schemas.Upstream) => {
          this.sent.push(upstreamId);
          return Promise.resolve(stream.Readable.from([]));
        },
      },
      gate: { isLeaving: () => false, isOpen: () => true },
      guard: {
        permit: async () => {
          await clock.sleep(1);
          this.onChosen();
        },
        recordNotRun: () => {},
        recordServed: () => {},
      },
      held: new requests.HeldBytes(() => 1_000_000),
      ids: { encode: () => 'g1' },
      incarnation: 1,
      metrics: { time: () => {} },
      poolClient: {
        release: () => {},
        requestCapacity: (_model: string, { excluded }: { readonly excluded: string[] }) =>
          Promise.resolve({
            upstream: this.listUpstreams().find(({ upstreamId }) => !excluded.includes(upstreamId)),
            version: 'v1',
            reason: 'room',
            queuedMs: 0,
            pressure: 0,
          }),
      },
      random: () => 0,
      services: {
        send: ({ upstreamId }: schemas.Upstream) => {
          this.unreachable -= 1;
          if (this.unreachable >= 0) {
            return Promise.reject(new requests.UpstreamError('unreachable', 'send', upstreamId));
          }
          this.sent.push(upstreamId);
          return Promise.resolve({ status: 200, headers: {}, body: Buffer.from('ok') });
        },
      },
      stop: { send: () => {}, recordNotRun: () => {} },
      store: {
        get: () => ({
          declaration: {
            services: [{ name: 'booking', availabilityZones: ['a'], notRepeatable: [] }],
          },
        }),
      },
      view: { getDirectory: () => ({ upstreams: this.listUpstreams() }) },
    } as never;
  }
}

/** Makes calls that may run once, one after the other, and returns the statuses of their answers. */
async function callService(t: tap.Test, sends: Sends, calls = 1): Promise<number[]> {
  const handler = new serviceCallHandlers.ServiceCallHandler(sends.createContext());
  const server = http.createServer((req, res) => {
    handler.handle(req, res, 'booking', '/confirms').catch(() => res.writeHead(503).end());
  });
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const statuses: number[] = [];
  for (let i = 0; i < calls; i += 1) {
    const res = await fetch(`http://127.0.0.1:${port}`, { method: 'POST', body: 'x' });
    await res.text();
    statuses.push(res.status);
  }
  return statuses;
}

async function dispatch(sends: Sends): Promise<string> {
  const dispatcher = new completionDispatchers.CompletionDispatcher(sends.createContext());
  const job = {
    team: TEAM,
    intent: { name: 'i', model: 'm' },
    body: { model: 'm', stream: true },
    estimate: { workClass: 'interactive', promptTokens: 1, maxTokens: 1, prefix: 'p' },
    path: '/v1/completions',
    key: undefined,
    subject: {},
    excluded: [],
    endedEngines: 0,
    attempt: 0,
  };
  const res = { destroyed: false, writableEnded: false };
  const task = await dispatcher.dispatch(job as never, res as never);
  return task!.upstream.upstreamId;
}

// Guards against new work at an upstream that is listed as leaving between its choice and the send.
void tap.default.test('an upstream leaves after it was chosen', async (t) => {
  const generations = new Sends();
  generations.onChosen = () => generations.leave('u1');
  t.equal(await dispatch(generations), 'u2', 'a generation is started elsewhere');
  t.same(generations.sent, ['u2']);
  const calls = new Sends();
  calls.onChosen = () => calls.leave('u1');
  t.same(await callService(t, calls), [200], 'a call to a service is served elsewhere');
  t.same(calls.sent, ['u2']);
});

// Guards against calls that are refused for seconds since the only upstream could not be reached for a moment.
void tap.default.test('the only upstream is not reached once', async (t) => {
  const sends = new Sends(['u1']);
  sends.unreachable = 1;
  t.same(await callService(t, sends, 3), [503, 200, 200], 'the next calls are served');
  t.same(sends.sent, ['u1', 'u1']);
});
