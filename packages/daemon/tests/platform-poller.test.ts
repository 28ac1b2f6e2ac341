import * as http from 'node:http';
import type * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as platformPollers from '../src/platform-poller.js';

interface Teardown {
  teardown(handler: () => unknown): void;
}

interface LogLine {
  readonly event?: string;
  readonly step?: string;
  readonly err?: string;
  readonly count?: number;
  readonly faults?: readonly string[];
}

/** A platform that answers with the given bodies, and a poller of its list. */
async function createPolled(t: Teardown, bodies: readonly unknown[]) {
  const left = [...bodies];
  const server = http.createServer((_req, res) => res.end(JSON.stringify(left.shift())));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return createPoller((server.address() as net.AddressInfo).port);
}

function createPoller(port: number) {
  const lists: string[][] = [];
  const lines: LogLine[] = [];
  const poller = new platformPollers.PlatformPoller({
    url: `http://127.0.0.1:${port}`,
    availabilityZone: 'a',
    clock: new schemas.VirtualClock(),
    log: Object.assign(new schemas.SilentLog(), { warn: (line: LogLine) => lines.push(line) }),
    isActive: () => true,
    activeChanged: new schemas.ChangeSignal(),
    onUpstreams: (upstreams) => lists.push(upstreams.map(({ upstreamId }) => upstreamId)),
  });
  return { lines, lists, poller };
}

function createEntry(upstreamId: string, change: object = {}): object {
  return {
    upstreamId,
    kind: 'engine',
    availabilityZone: 'a',
    url: 'http://10.1.1.1:8000',
    state: 'live',
    checksFencing: false,
    ...change,
  };
}

// Guards against one entry that rejects the list, so that all hosts of a zone keep an outdated one.
void tap.default.test('unreadable entries of the list are left out', async (t) => {
  const bad = [
    createEntry('mail', { url: 'mailto:a' }),
    createEntry('port-0', { url: 'http://10.1.1.1:0' }),
    createEntry('port', { url: 'http://10.1.1.1:65536' }),
    createEntry('address', { url: 'http://999.1.1.1:80' }),
    createEntry('file', { url: 'file:///etc/hosts' }),
    createEntry('state', { state: 'asleep' }),
    createEntry('long', { kind: 'x'.repeat(10_000) }),
    { upstreamId: 'alone' },
    null,
    7,
  ];
  const good = [createEntry('one'), createEntry('two', { url: 'https://engine.example' })];
  const all = { upstreams: [good[0], ...bad, good[1]] };
  const { lines, lists, poller } = await createPolled(t, [all, all, { upstreams: good }]);
  await poller.poll();
  await poller.poll();
  await poller.poll();
  const both = ['one', 'two'];
  t.same(lists, [both, both, both]);
  const counts = lines.map(({ count, event }) => ({ count, event }));
  const event = 'list-entries-unreadable';
  t.same(
    counts,
    [
      { event, count: bad.length },
      { event, count: 0 },
    ],
    'logged once per change of the count',
  );
  const { faults = [] } = lines[0] ?? {};
  t.equal(faults.length, 5, 'the first faults are described');
  t.ok(
    faults.every((fault) => fault.length <= 300),
    'descriptions are short',
  );
});

// Guards against a body without a list that counts as an empty list: its zone would refuse every call.
void tap.default.test('a body that is no list keeps the former list', async (t) => {
  const bodies = [
    { upstreams: [createEntry('one')] },
    {},
    [],
    { upstreams: {} },
    null,
    'upstreams',
  ];
  const { lines, lists, poller } = await createPolled(t, bodies);
  for (let i = 0; i < bodies.length; i += 1) {
    await poller.poll();
  }
  t.same(lists, [['one']]);
  t.equal(lines.filter(({ step }) => step === 'platform-list').length, bodies.length - 1);
});

// Guards against a list that is taken from an answer with a wrong status, head or trailer, and one that is missed after it.
void tap.default.test('an answer with a wrong head keeps the former list', async (t) => {
  const body = JSON.stringify({ upstreams: [createEntry('one')] });
  let answer: fakes.UnusualAnswer = {};
  const platform = new fakes.ShortAnswerUpstream(() => ({
    bytes: fakes.frameUnusualAnswer(answer, {}, [body]),
  }));
  const { lines, lists, poller } = createPoller(Number((await platform.listen()).split(':')[1]));
  t.teardown(() => platform.close());
  for (const [name, wrong] of Object.entries(fakes.WRONG_ANSWERS)) {
    answer = wrong;
    await poller.poll();
    t.same(lists.splice(0), [], name);
    t.equal(lines.splice(0).length, 1, `${name}: logged`);
    answer = {};
    await poller.poll();
    t.same(lists.splice(0), [['one']], `after ${name}`);
  }
});

// Guards against an error page that counts as the list: with an empty list in it, the zone would refuse every call.
void tap.default.test('an answer that refuses the list keeps the former list', async (t) => {
  let statusLine = 'HTTP/1.1 200 OK';
  let upstreams: readonly object[] = [createEntry('one')];
  const platform = new fakes.ShortAnswerUpstream(() => ({
    bytes: fakes.frameUnusualAnswer({ statusLine }, {}, [JSON.stringify({ upstreams })]),
  }));
  const { lines, lists, poller } = createPoller(Number((await platform.listen()).split(':')[1]));
  t.teardown(() => platform.close());
  for (const status of [201, 203, 206, 302, 400, 401, 404, 429, 500, 502, 503, 504, 599]) {
    for (const refused of [[], [createEntry('two')], [createEntry('x'.repeat(1_000_000))]]) {
      statusLine = `HTTP/1.1 ${status} Unknown`;
      upstreams = refused;
      await poller.poll();
      t.same(lists.splice(0), [], `status ${status}, ${refused.length} upstreams`);
      t.match(lines.splice(0), [{ step: 'platform-list', err: new RegExp(`${status}$`) }]);
      statusLine = 'HTTP/1.1 200 OK';
      upstreams = [createEntry('one')];
      await poller.poll();
      t.same(lists.splice(0), [['one']], `after status ${status}`);
      t.same(lines.splice(0), []);
    }
  }
});

void tap.default.test('a daemon that becomes the relay polls the list at once', async (t) => {
  // The zone has just started and no daemon has read the list. Without the signal, every daemon of
  // the zone would have no upstreams and not be ready until the next poll a second later. The
  // virtual clock of this test does not advance, so only the signal can trigger the poll.
  const platform = new fakes.FakePlatform(0);
  const url = await platform.listen();
  const activeChanged = new schemas.ChangeSignal();
  let isActive = false;
  const taken = new Promise<readonly schemas.Upstream[]>((resolve) => {
    const poller = new platformPollers.PlatformPoller({
      url,
      availabilityZone: 'a',
      clock: new schemas.VirtualClock(),
      log: new schemas.SilentLog(),
      isActive: () => isActive,
      activeChanged,
      onUpstreams: (upstreams) => {
        poller.stop();
        resolve(upstreams);
      },
    });
    void poller.run();
  });
  isActive = true;
  activeChanged.notify();
  t.same(await taken, []);
  platform.kill();
});
