import type * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import type * as procedures from '../src/core-procedures.js';
import * as crashGuards from '../src/crash-guard.js';
import type * as routedJobs from '../src/routed-job.js';
import * as suspectClients from '../src/suspect-client.js';

/** Duration of the check whether a process has exited, in milliseconds. */
const CHECK_MS = 10;

/** Creates a guard whose leader answers as the test sets, and records the requests and reports that the leader gets. */
function createGuard(check: () => boolean = () => true) {
  const clock = new schemas.VirtualClock();
  const log = new schemas.SilentLog();
  const leader = {
    permit: undefined as object | undefined,
    requests: [] as procedures.SuspectPermitReq[],
    reports: [] as routing.SuspectRun[],
  };
  const api = {
    reportSuspects: {
      mutate: async ({ runs }: procedures.SuspectReport) => {
        leader.reports.push(...runs);
        return Promise.resolve({ term: 1 });
      },
    },
    permitSuspect: {
      mutate: async (req: procedures.SuspectPermitReq) => {
        leader.requests.push(req);
        if (leader.permit === undefined) {
          throw new Error('deadline');
        }
        return Promise.resolve(leader.permit);
      },
    },
  };
  const mesh = { get: () => api as never };
  const findLeader = () => 'core';
  const client = new suspectClients.SuspectClient({ mesh, findLeader, hostId: 'host', clock, log });
  const guard = new crashGuards.CrashGuard({
    suspects: client,
    directory: { isLeaving: () => false, noteUnreachable: () => {}, noteEnded: () => {} } as never,
    exitDetector: { hasExited: async () => clock.sleep(CHECK_MS).then(check) } as never,
    clock,
    log,
    metrics: new telemetry.TextMetrics(),
  });
  return { clock, guard, leader, client };
}

function createJob(requestId: string): routedJobs.RoutedJob {
  const call = { facts: { requestId }, route: { name: 'plain' }, service: { name: 'app' } };
  return { call, getDigest: () => 'bad' } as unknown as routedJobs.RoutedJob;
}

function createRun(upstreamId: string): crashGuards.GuardedRun {
  return { known: { upstreamId, listed: {} } as never, answerStartedAt: undefined };
}

type Site = ReturnType<typeof createGuard>;

/** Runs a call on an upstream that crashes meanwhile; returns what is reported to the leader. */
async function crashRun({ clock, guard, leader }: Site, requestId: string, upstreamId: string) {
  guard.recordOutcome(createJob(requestId), createRun(upstreamId), 'lost');
  await clock.advance(2 * CHECK_MS);
  return leader.reports.at(-1);
}

// Guards against a host that ends because the check of one upstream failed.
void tap.default.test('a failed exit check ends neither the host nor later calls', async (t) => {
  const site = createGuard(() => {
    throw new TypeError('Invalid URL');
  });
  const { clock, guard, leader, client } = site;
  t.equal(await crashRun(site, 'c1', 'p1'), undefined, 'no end is reported');
  const admitted = guard.admit(createJob('c2'));
  await clock.advance(CHECK_MS);
  await t.resolves(admitted);
  t.same(leader.requests, [], 'the call is no suspect');
  client.stop();
});

// Guards against a suspect whose run stays open with the leader because the check after it failed.
void tap.default.test('a run whose exit check failed is reported as over', async (t) => {
  const checks = [
    () => true,
    () => {
      throw new TypeError('Invalid URL');
    },
  ];
  const site = createGuard(() => checks.shift()!());
  t.match(await crashRun(site, 'c1', 'p1'), { kind: 'ended' });
  t.match(await crashRun(site, 'c2', 'p2'), { kind: 'over', processId: 'p2' });
  site.client.stop();
});

// Guards against a later send that is not counted because its permit request has the id of a run that already took
// place.
void tap.default.test(
  'a host that sent a suspect without the leader uses a new request id next time',
  async (t) => {
    const site = createGuard();
    const { clock, guard, leader, client } = site;
    await crashRun(site, 'c1', 'p1');
    const withoutLeader = guard.permit(createJob('c2'), createRun('p2').known, () => false);
    await clock.advance(1_500);
    t.match(await withoutLeader, { kind: 'go' });
    const previousId = leader.requests.at(-1)?.permitId;
    leader.permit = { kind: 'go' };
    const pending = guard.permit(createJob('c3'), createRun('p3').known, () => false);
    await clock.advance(100);
    await pending;
    t.type(previousId, 'string');
    t.not(leader.requests.at(-1)?.permitId, previousId);
    client.stop();
  },
);

// Guards against a crash that is no evidence because the host had no choice of upstreams and its leader is gone.
void tap.default.test(
  'what a permit states about other suspects is reported with the crash',
  async (t) => {
    const answers = [
      { permit: { kind: 'go', isAlone: true }, hasChoice: false, wasAlone: true },
      { permit: { kind: 'go', isAlone: false }, hasChoice: true, wasAlone: false },
      { permit: { kind: 'go' }, hasChoice: true, wasAlone: true },
      { permit: { kind: 'go' }, hasChoice: false, wasAlone: false },
    ];
    for (const { hasChoice, permit, wasAlone } of answers) {
      const site = createGuard();
      const { clock, guard, leader, client } = site;
      await crashRun(site, 'c1', 'p1');
      leader.permit = permit;
      const job = createJob('c2');
      const pending = guard.permit(job, createRun('p2').known, () => !hasChoice);
      await clock.advance(100);
      await pending;
      guard.recordOutcome(job, createRun('p2'), 'lost');
      await clock.advance(2 * CHECK_MS);
      t.match(leader.reports.at(-1), { kind: 'ended', end: { processId: 'p2', wasAlone } });
      client.stop();
    }
  },
);

// Guards against a call that is sent without a permit, as a new one, while the exit check of its last run is pending.
void tap.default.test(
  'a call waits for the exit check of its last run, whatever its id',
  async (t) => {
    const { clock, guard, leader, client } = createGuard();
    leader.permit = { kind: 'go' };
    guard.recordOutcome(createJob('c1'), createRun('p1'), 'lost');
    const job = createJob('c2');
    const sent = guard
      .admit(job)
      .then(async () => guard.permit(job, createRun('p2').known, () => true));
    await clock.advance(100);
    await sent;
    t.equal(leader.requests.length, 1, 'a permit was requested from its leader');
    client.stop();
  },
);
