import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import type * as procedures from '../src/core-procedures.js';
import * as crashGuards from '../src/crash-guard.js';
import type * as routedJobs from '../src/routed-job.js';
import * as suspectLinks from '../src/suspect-client.js';

/** How long it takes to find out whether a process has ended, in milliseconds. */
const CHECK_MS = 10;

/** A guard whose leader answers as the test says; it keeps what the leader was asked and told. */
function createGuard() {
  const clock = new schemas.VirtualClock();
  const log = new schemas.SilentLog();
  const leader = {
    permit: undefined as object | undefined,
    asked: [] as procedures.SuspectPermitReq[],
    told: [] as procedures.SuspectOutcome[],
  };
  const api = {
    reportSuspects: {
      mutate: async ({ runs }: procedures.SuspectReport) => {
        leader.told.push(...runs);
        return Promise.resolve({ term: 1 });
      },
    },
    permitSuspect: {
      mutate: async (req: procedures.SuspectPermitReq) => {
        leader.asked.push(req);
        if (leader.permit === undefined) {
          throw new Error('deadline');
        }
        return Promise.resolve(leader.permit);
      },
    },
  };
  const mesh = { get: () => api as never };
  const findLeader = () => 'core';
  const link = new suspectLinks.SuspectClient({ mesh, findLeader, hostId: 'host', clock, log });
  const guard = new crashGuards.CrashGuard({
    suspects: link,
    directory: { isLeaving: () => false, noteUnreachable: () => {} } as never,
    endCheck: { hasEnded: async () => clock.sleep(CHECK_MS).then(() => true) } as never,
    clock,
    log,
    metrics: new telemetry.TextMetrics(),
  });
  return { clock, guard, leader, link };
}

function createJob(requestId: string): routedJobs.RoutedJob {
  const call = { facts: { requestId }, service: { name: 'app' } };
  return { call, getDigest: () => 'bad' } as unknown as routedJobs.RoutedJob;
}

function createRun(upstreamId: string): crashGuards.GuardedRun {
  return { known: { upstreamId, listed: {} } as never, answerStartedAt: undefined };
}

type Site = ReturnType<typeof createGuard>;

/** Runs a call at an upstream that ends under it; gives what the leader is told of the end. */
async function loseRun({ clock, guard, leader }: Site, requestId: string, upstreamId: string) {
  guard.recordOutcome(createJob(requestId), createRun(upstreamId), 'lost');
  await clock.advance(2 * CHECK_MS);
  return leader.told.at(-1);
}

// Guards against a later send that nobody counts: its question has the id of one that stood for a run already made.
void tap.default.test(
  'a host that sends a suspect alone asks a new question next time',
  async (t) => {
    const site = createGuard();
    const { clock, guard, leader, link } = site;
    await loseRun(site, 'c1', 'p1');
    const alone = guard.permit(createJob('c2'), createRun('p2').known, () => false);
    await clock.advance(1_500);
    t.match(await alone, { kind: 'go' });
    const former = leader.asked.at(-1)?.permitId;
    leader.permit = { kind: 'go' };
    const asked = guard.permit(createJob('c3'), createRun('p3').known, () => false);
    await clock.advance(100);
    await asked;
    t.type(former, 'string');
    t.not(leader.asked.at(-1)?.permitId, former);
    link.stop();
  },
);

// Guards against an end that proves nothing because the host had no choice of upstreams and its leader is gone.
void tap.default.test('what a permit says of other suspects is told with the end', async (t) => {
  const answers = [
    { permit: { kind: 'go', isAlone: true }, hasChoice: false, wasAlone: true },
    { permit: { kind: 'go', isAlone: false }, hasChoice: true, wasAlone: false },
    { permit: { kind: 'go' }, hasChoice: true, wasAlone: true },
    { permit: { kind: 'go' }, hasChoice: false, wasAlone: false },
  ];
  for (const { hasChoice, permit, wasAlone } of answers) {
    const site = createGuard();
    const { clock, guard, leader, link } = site;
    await loseRun(site, 'c1', 'p1');
    leader.permit = permit;
    const job = createJob('c2');
    const asked = guard.permit(job, createRun('p2').known, () => !hasChoice);
    await clock.advance(100);
    await asked;
    guard.recordOutcome(job, createRun('p2'), 'lost');
    await clock.advance(2 * CHECK_MS);
    t.match(leader.told.at(-1), { kind: 'ended', end: { processId: 'p2', wasAlone } });
    link.stop();
  }
});

// Guards against a call that is sent unaware, as a new one, while the end of its last run is being found out.
void tap.default.test('a call waits for what its last run shows, whatever its id', async (t) => {
  const { clock, guard, leader, link } = createGuard();
  leader.permit = { kind: 'go' };
  guard.recordOutcome(createJob('c1'), createRun('p1'), 'lost');
  const job = createJob('c2');
  const sent = guard
    .admit(job)
    .then(async () => guard.permit(job, createRun('p2').known, () => true));
  await clock.advance(100);
  await sent;
  t.equal(leader.asked.length, 1, 'its leader was asked');
  link.stop();
});
