import type * as http from 'node:http';

import * as tap from 'tap';

import * as queueingUpstreams from './support/queueing-upstream.js';
import * as sites from './support/small-site.js';

/** How long the load lasts with and without shared capacity, in milliseconds. */
const SHARED_LOAD_MS = 10_000;
const USUAL_LOAD_MS = 4_000;

/** How long the load lasts during which the leader is lost, and when that is, in milliseconds. */
const FAILURE_LOAD_MS = 4_000;
const LOST_AFTER_MS = 1_500;

/** Time within which answers are due, in milliseconds. */
const TARGET_MS = 400;

const SMALL_TEAMS = ['s1', 's2', 's3'];

interface Answer {
  readonly team: string;
  readonly callId: string;
  readonly status: number;
  readonly sentAt: number;
  readonly tookMs: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** Starts two entry hosts, three core hosts, and three upstreams that run two calls at once and queue two. */
async function startSite(t: tap.Test, isShared: boolean) {
  const site = new sites.SmallSite(t);
  site.capacitySharing = isShared ? { teamWeights: {} } : undefined;
  const upstreams = [1, 2, 3].map(
    () => new queueingUpstreams.QueueingUpstream({ concurrency: 2, queueLimit: 2, serviceMs: 100 }),
  );
  for (const [i, upstream] of upstreams.entries()) {
    await site.addUpstream(`app-${i + 1}`, 'app', upstream.answer);
  }
  await site.start(3);
  await site.addEntry();
  const config = sites.createConfig(1);
  const routes = config.routes.map((route) => ({ ...route, targetMs: TARGET_MS }));
  const teams = ['flood', ...SMALL_TEAMS].map((name) => ({ name, keys: [name] }));
  await site.declare({ routes, teams });
  const ports = [site.entryPort, ...site.others.map(({ port }) => port)];
  await site.until('served by each host', async () => {
    const all = await Promise.all(
      ports.map((port) => site.call('/plain/x', { key: 's1' }, '', port)),
    );
    return all.every(({ status }) => status === 200);
  });
  return { site, upstreams, ports };
}

/** Makes calls at a steady rate for each team, in turn through each host. */
async function load(
  site: sites.SmallSite,
  ports: readonly number[],
  callsPerS: Readonly<Record<string, number>>,
  durationMs: number,
): Promise<Answer[]> {
  const answers: Promise<Answer>[] = [];
  const makeCalls = async (team: string, rate: number) => {
    const startedAt = performance.now();
    for (let i = 0; i < (rate * durationMs) / 1_000; i += 1) {
      const waitMs = startedAt + (i * 1_000) / rate - performance.now();
      if (waitMs > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, waitMs);
        });
      }
      const callId = `${team}-${i}`;
      const sentAt = performance.now();
      const port = ports[i % ports.length];
      const headers = { 'call-id': callId, key: team, patience: 2_000 };
      answers.push(
        site.call('/plain/x', headers, '', port).then((res) => ({
          team,
          callId,
          status: res.status,
          sentAt,
          tookMs: performance.now() - sentAt,
          headers: res.headers,
        })),
      );
    }
  };
  await Promise.all(Object.entries(callsPerS).map(([team, rate]) => makeCalls(team, rate)));
  return Promise.all(answers);
}

async function measureFlood(t: tap.Test, isShared: boolean) {
  const { ports, site, upstreams } = await startSite(t, isShared);
  const [busyBefore, shedBefore] = [sum(upstreams, 'busyMs'), sum(upstreams, 'shed')];
  const small = Object.fromEntries(SMALL_TEAMS.map((team) => [team, 5]));
  const startedAt = performance.now();
  const durationMs = isShared ? SHARED_LOAD_MS : USUAL_LOAD_MS;
  const answers = await load(site, ports, { flood: 140, ...small }, durationMs);
  const tookMs = performance.now() - startedAt;
  const served = answers.filter(({ status }) => status === 200);
  const getServedShare = (team: string) =>
    served.filter((item) => item.team === team).length /
    answers.filter((item) => item.team === team).length;
  const figures = {
    small: SMALL_TEAMS.map(getServedShare),
    flood: getServedShare('flood'),
    onTime: served.filter((item) => item.tookMs <= TARGET_MS).length / served.length,
    used: (sum(upstreams, 'busyMs') - busyBefore) / (tookMs * 6),
    shed: sum(upstreams, 'shed') - shedBefore,
  };
  t.comment(`${isShared ? 'shared' : 'not shared'}: ${JSON.stringify(figures)}`);
  return { answers, figures, site, upstreams };
}

/** Lists the calls of some answers that an upstream has started. */
function listRun(
  upstreams: readonly queueingUpstreams.QueueingUpstream[],
  answers: readonly Answer[],
): string[] {
  const started = new Set(upstreams.flatMap((upstream) => upstream.started));
  return answers.map(({ callId }) => callId).filter((callId) => started.has(callId));
}

function sum(upstreams: readonly queueingUpstreams.QueueingUpstream[], key: 'busyMs' | 'shed') {
  return upstreams.reduce((total, item) => total + item[key], 0);
}

// Guards against small teams that are crowded out by a large one, against answers that are late because queues stand at
// the upstreams, and against refused calls that run nevertheless.
void tap.default.test('one team floods', async (t) => {
  const { answers, figures, upstreams } = await measureFlood(t, true);
  figures.small.forEach((share) => t.ok(share >= 0.9, `${share} of a small team are served`));
  t.ok(figures.onTime >= 0.8, `${figures.onTime} of the served calls are on time`);
  t.ok(figures.used >= 0.8, `${figures.used} of the capacity is used`);
  const refused = answers.filter(({ status }) => status !== 200);
  t.ok(
    refused.every(({ headers, status }) => status === 503 && Number(headers['retry-after']) > 0),
    'the others are refused with a time for their return',
  );
  t.same(listRun(upstreams, refused), [], 'refused calls don’t run');
});

// Guards against a shortage in which the loss of the leader stops all calls, lets all of them through to the queues of the
// upstreams, or makes refused calls run.
void tap.default.test('the leader is lost during a shortage', async (t) => {
  const { ports, site, upstreams } = await startSite(t, true);
  const former = site.findLeader()!;
  const small = Object.fromEntries(SMALL_TEAMS.map((team) => [team, 5]));
  const lostAt = performance.now() + LOST_AFTER_MS;
  setTimeout(() => site.stopCore(former), LOST_AFTER_MS);
  const answers = await load(site, ports, { flood: 140, ...small }, FAILURE_LOAD_MS);
  t.not(site.findLeader(), former, 'another host leads');
  t.ok(
    site.lines.some(({ event }) => event === 'scheduling-alone'),
    'hosts schedule alone meanwhile',
  );
  const meanwhile = answers.filter(({ sentAt }) => sentAt >= lostAt && sentAt < lostAt + 500);
  const served = meanwhile.filter(({ status }) => status === 200).length;
  t.ok(served >= 10, `${served} of ${meanwhile.length} calls are served without a leader`);
  const others = meanwhile.length - served;
  t.ok(others >= 10, `${others} are refused`);
  const smallCalls = answers.filter(({ team }) => team !== 'flood');
  const smallServed = smallCalls.filter(({ status }) => status === 200).length;
  t.ok(
    smallServed >= 0.85 * smallCalls.length,
    `${smallServed} of ${smallCalls.length} calls of small teams are served in all`,
  );
  const refused = answers.filter(({ status }) => status !== 200);
  t.ok(
    refused.every(({ status }) => status === 503),
    'all others are refused as not run',
  );
  t.same(listRun(upstreams, refused), [], 'and don’t run');
});

// Guards against slots that stay taken until the deadlines of calls that the gate did not let pass.
void tap.default.test('slots of withheld sends are free again', async (t) => {
  const site = new sites.SmallSite(t);
  site.capacitySharing = { teamWeights: {} };
  await site.addUpstream('app-1', 'app', (req, res) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'] ?? '', 'calls-per-s': '5' }).end('done');
  });
  await site.start(3);
  await site.addEntry();
  await site.declare({});
  const ports = [site.entryPort, ...site.others.map(({ port }) => port)];
  const call = async (port: number) => (await site.call('/plain/x', {}, '', port)).status;
  for (const port of ports) {
    await site.until('served by the host', async () => (await call(port)) === 200);
  }
  const isWithheld = ({ decision }: Record<string, unknown>) => decision === 'send-withheld';
  await site.until('more sends withheld than there are slots', async () => {
    await Promise.all([...ports, ...ports].map(call));
    return site.lines.filter(isWithheld).length > 8;
  });
  const isRefused = ({ decision }: Record<string, unknown>) => decision === 'no-slot';
  t.notOk(site.lines.some(isRefused), 'no call lacked a slot meanwhile');
});

// Guards against an effect on deployments without the setting: their hosts send no request for a slot.
void tap.default.test('without the setting calls are served as before', async (t) => {
  const { answers, figures, site } = await measureFlood(t, false);
  t.ok(figures.flood < 1, 'the load is too much for the upstreams');
  t.ok(answers.some(({ status }) => status === 200));
  const isAboutSlots = ({ decision, event }: Record<string, unknown>) =>
    decision === 'no-slot' || String(event).startsWith('scheduling-');
  t.notOk(site.lines.some(isAboutSlots), 'no host schedules slots');
});
