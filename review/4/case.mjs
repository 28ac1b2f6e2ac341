/**
 * A follower of the core receives a snapshot while it compacts its log. Afterwards it accepts no entry, and the next loss
 * that is to be borne stops the core for good.
 */
import * as harness from '../support-2/harness.mjs';

const ROUTES = Number(process.env.ROUTES ?? 240);
const STORM_CHANGES = 25;
const STORM_GAP_MS = 60;
const COMPACTION_BYTES = 8 * 1024 * 1024;
const FREEZE_MS = 3_000;
const TRIALS = 8;
/** Time from which no further freeze is begun, so that the case ends in time. */
const LAST_TRIAL_MS = 65_000;

const testCase = new harness.Case(new URL('./', import.meta.url));
const deployment = new harness.Deployment(testCase);
let version = 0;
let acked = 0;

const service = {
  name: 's1',
  healthCheckPath: '/health',
  connectionLimit: 110,
  protocol: 'h1',
  tls: false,
};

function createBigDocument() {
  version += 3;
  const routes = Array.from({ length: ROUTES }, (_, i) =>
    harness.createRoute({
      name: `r-${i}-${version}`,
      pathPrefix: `/added${i}/`,
      kind: 'idempotent',
      service: 's1',
    }),
  );
  return harness.createDocument(version, routes, [service]);
}

async function change(timeoutMs = 4_000) {
  const document = createBigDocument();
  const tookMs = await deployment.put(document, { timeoutMs });
  if (tookMs !== undefined) {
    acked = Math.max(acked, document.version);
  }
  return tookMs;
}

/** Sends changes in quick succession; `isOver` may end them early. */
async function storm(count, isOver = async () => false) {
  const sent = [];
  for (let i = 0; i < count; i += 1) {
    const next = harness.sleep(STORM_GAP_MS);
    const sending = change();
    sent.push(sending);
    await Promise.race([sending, next]);
    if (await isOver()) {
      break;
    }
    await next;
  }
  await Promise.all(sent);
  testCase.note(`a storm of ${sent.length} changes is over; newest acknowledged: ${acked}`);
}

/** Two operators send changes in quick succession at the same time. */
async function stormTogether(isOver) {
  await Promise.all([storm(STORM_CHANGES, isOver), storm(STORM_CHANGES, isOver)]);
}

async function findLeader() {
  for (const core of deployment.cores) {
    if ((await deployment.readGauge(core.ip, 'is_leading')) === 1) {
      return core;
    }
  }
  return undefined;
}

const logBytes = (core) => deployment.readGauge(core.ip, 'log_bytes');

/** Freezes a follower whose log is about to be compacted, and sends changes meanwhile. */
async function freezeFollower(follower) {
  let isDue = false;
  const isCompactionDue = async () => {
    const isNowDue = !isDue && (await logBytes(follower)) >= COMPACTION_BYTES;
    if (isNowDue && !isDue) {
      isDue = true;
      testCase.signal(follower.program, 'SIGSTOP');
    }
    return isDue;
  };
  for (let storms = 0; storms < 9 && !isDue; storms += 1) {
    await stormTogether(isCompactionDue);
  }
  const frozenAt = testCase.now();
  await stormTogether();
  await harness.sleep(Math.max(0, frozenAt + FREEZE_MS - testCase.now()));
  testCase.signal(follower.program, 'SIGCONT');
  await harness.sleep(2_000);
  await change();
  await harness.sleep(300);
  const behind = await deployment.readGauge(follower.ip, 'configuration_version');
  testCase.note(`${follower.name} holds version ${behind}, acknowledged is ${acked}`);
  return behind < acked;
}

await testCase.run(async () => {
  await deployment.prepare();
  [1, 2, 3].forEach((n) => deployment.startCore(n));
  await harness.sleep(1_500);
  if ((await change(15_000)) === undefined) {
    throw new Error('the first desired state was not acknowledged');
  }
  const leader = await findLeader();
  const [follower, other] = deployment.cores.filter((core) => core !== leader);
  testCase.note(`leader ${leader.name}, follower ${follower.name}, other ${other.name}`);
  if (harness.HAS_TROUBLE) {
    let isStuck = false;
    for (let trial = 0; trial < TRIALS && !isStuck && testCase.now() < LAST_TRIAL_MS; trial += 1) {
      isStuck = await freezeFollower(follower);
      testCase.note(isStuck ? 'the follower is behind' : 'the follower keeps up');
    }
  } else {
    for (let i = 0; i < 8; i += 1) {
      await stormTogether();
    }
  }
  // Long after the freeze, a machine of the core is removed for good, and an empty one takes its place.
  await harness.sleep(4_000);
  if (harness.HAS_TROUBLE) {
    testCase.signal(other.program, 'SIGKILL');
    deployment.cores = deployment.cores.filter((core) => core !== other);
    await harness.sleep(2_000);
    deployment.startCore(4, false);
    await harness.sleep(4_000 + 3_000);
  }
  const tookMs = await change(4_000);
  testCase.note(`the change took ${tookMs} ms`);
  const held = await deployment.read({ timeoutMs: 6_000 });
  if (held === undefined) {
    return `the desired state can't be read back; the newest acknowledged version is ${acked}`;
  }
  if (held.version < acked) {
    return `read back version ${held.version}, older than the acknowledged ${acked}`;
  }
  return tookMs === undefined ? 'a valid change is not acknowledged' : undefined;
});
