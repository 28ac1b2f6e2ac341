import * as tap from 'tap';

import * as sites from './support/small-site.js';

const CORES = ['127.0.1.1', '127.0.1.2', '127.0.1.3'];

/** Time after the statement at which all core hosts stop, in milliseconds; the leader has distributed it by then. */
const CORES_STOP_MS = 1_500;

/** Time after the statement from which no call may reach the upstream, and at which the calls end, in milliseconds. */
const BINDS_MS = 3_500;
const END_MS = 7_000;

/** Pause between two calls, in milliseconds. */
const PAUSE_MS = 20;

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Creates a site with two entry hosts and three upstreams, of which the first states in its answers that it leaves. */
async function createSite(t: tap.Test) {
  const site = new sites.SmallSite(t);
  const arrivedAt: number[] = [];
  const state = { isLeaving: true };
  for (const upstreamId of ['u1', 'u2', 'u3']) {
    await site.addUpstream(upstreamId, 'app', (req, res) => {
      res.setHeader('call-id', req.headers['call-id'] ?? '');
      if (upstreamId === 'u1') {
        arrivedAt.push(performance.now());
        if (state.isLeaving) {
          res.setHeader('leaving', '1');
        }
      }
      res.end('ok');
    });
  }
  await site.start(CORES.length);
  await site.addEntry();
  await site.declare({});
  const [other] = site.others;
  await site.until('ready', () => site.entry.isReady() && other!.host.isReady());
  const callAt = (port: number, id: string) =>
    site.call(`/plain/${id}`, { 'call-id': id }, '', port);
  /** Calls the first entry host until the upstream has stated that it leaves; returns the time of the statement. */
  const getStatement = async () => {
    for (let i = 0; arrivedAt.length === 0; i += 1) {
      await callAt(site.entryPort, `a${i}`);
    }
    return performance.now();
  };
  /** Calls another entry host while the statement binds; returns the number of calls that reached the upstream. */
  const countLate = async (statedAt: number, port = other!.port) => {
    await sleep(Math.max(0, statedAt + BINDS_MS - performance.now()));
    const before = arrivedAt.length;
    const statuses: number[] = [];
    for (let i = 0; performance.now() < statedAt + END_MS; i += 1) {
      statuses.push((await callAt(port, `b${i}`)).status);
      await sleep(PAUSE_MS);
    }
    t.same([...new Set(statuses)], [200], 'every call is served');
    return arrivedAt.length - before;
  };
  return { site, state, arrivedAt, callAt, getStatement, countLate };
}

// Guards against a host that knows a statement only from the leader's list and forgets it with its own read of the
// platform's list, which does not show it.
void tap.default.test(
  'a statement outlives the core hosts at hosts that were told it',
  async (t) => {
    const { site, getStatement, countLate } = await createSite(t);
    const statedAt = await getStatement();
    await sleep(CORES_STOP_MS);
    CORES.forEach((ip) => site.stopCore(ip));
    const late = await countLate(statedAt);
    t.equal(late, 0, `${late} calls later than ${BINDS_MS} ms after the statement`);
  },
);

// Guards against a new leader whose first list shows as staying what only the former leader had been told.
void tap.default.test('a statement outlives the leader that was told it', async (t) => {
  const { site, getStatement, countLate } = await createSite(t);
  const statedAt = await getStatement();
  await sleep(CORES_STOP_MS);
  const former = site.findLeader();
  site.stopCore(former!);
  await site.until('a new leader', () => site.findLeader() !== former);
  const late = await countLate(statedAt);
  t.equal(late, 0, `${late} calls later than ${BINDS_MS} ms after the statement`);
});

// Guards against a new leader that never learns the statement, since the host that got it has reported it only once.
void tap.default.test('a new leader tells hosts that start later', async (t) => {
  const { site, getStatement, countLate } = await createSite(t);
  const statedAt = await getStatement();
  await sleep(CORES_STOP_MS);
  const former = site.findLeader();
  site.stopCore(former!);
  await site.until('a new leader', () => site.findLeader() !== former);
  await site.addEntry();
  const added = site.others.at(-1)!;
  await site.until('ready', () => added.host.isReady());
  const late = await countLate(statedAt, added.port);
  t.equal(late, 0, `${late} calls later than ${BINDS_MS} ms after the statement`);
});

// Guards against a process that gets no calls because an earlier one under its id has left, where the list names no
// start times.
void tap.default.test('an upstream that was unlisted is another process', async (t) => {
  const { arrivedAt, callAt, getStatement, site, state } = await createSite(t);
  await getStatement();
  const { directory } = site.entry;
  await site.until('told', () => directory.isLeaving('u1'));
  const former = site.list.upstreams.find(({ upstreamId }) => upstreamId === 'u1')!;
  site.list.upstreams.splice(site.list.upstreams.indexOf(former), 1);
  await site.until('unlisted', () => directory.find('u1') === undefined);
  state.isLeaving = false;
  site.list.upstreams.push(former);
  await site.until('listed', () => directory.isLive('u1'));
  const before = arrivedAt.length;
  for (let i = 0; i < 50; i += 1) {
    await callAt(site.entryPort, `c${i}`);
  }
  t.ok(arrivedAt.length > before, `${arrivedAt.length - before} of 50 calls reach it`);
});
