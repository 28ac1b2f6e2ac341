/** A runner spoils one event of one stream. The entry host that relays it answers nobody any more. */
import * as harness from '../support-2/harness.mjs';
import * as runners from '../support-2/runner.mjs';

const STREAMS = 20;
const TIMEOUT_MS = 600;
const LOOKUPS_PER_S = 10;
const EVENTS = 8;
const LAST_S = 12;

const testCase = new harness.Case(new URL('./', import.meta.url));
const deployment = new harness.Deployment(testCase);
let streamsRun = 0;

/** What the faulty runner writes before one event: a line of its own statistics, as a comment of the event stream. */
const STATISTICS = Object.fromEntries(
  Array.from({ length: 48 }, (_, i) => [`batch_${i}`, (i * 37) % 100]),
);

/** Answers with a stream of events; one answer of all, a twentieth, has wrong bytes before one event. */
async function answerStream({ res, requestId, headers }) {
  streamsRun += 1;
  const isSpoiled = harness.HAS_TROUBLE && streamsRun === STREAMS;
  res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  for (let id = 1; id <= EVENTS; id += 1) {
    await harness.sleep(30);
    if (isSpoiled && id === 4) {
      testCase.note(`the answer to ${requestId} is spoiled before event ${id}`);
      res.write(`: ${JSON.stringify(STATISTICS)}\n`);
    }
    res.write(`id: ${id}\ndata: part ${id} of ${requestId}\n\n`);
  }
  res.end();
}

await testCase.run(async () => {
  await deployment.prepare();
  [1, 2, 3].forEach((n) => deployment.startCore(n));
  [1, 2].forEach((n) => deployment.startEntry(n));
  const create = (identifier, service, slots, work) =>
    new runners.Runner(testCase, { identifier, service, slots, work });
  await create('i-llm-1', 'llm', 24, answerStream).start(deployment, testCase.ip(101));
  await create('i-desk-1', 'desk', 6, runners.answerShort(15)).start(deployment, testCase.ip(102));
  await create('i-desk-2', 'desk', 6, runners.answerShort(15)).start(deployment, testCase.ip(103));
  const plain = { healthCheckPath: '/health', connectionLimit: 110, protocol: 'h1', tls: false };
  const engine = {
    slots: 24,
    kvCacheTokens: 34_267,
    kvTokenBytes: 262_144,
    linkMbps: 38_000,
    moves: false,
    backups: false,
    stride: 4,
    models: [{ name: 'm' }],
  };
  const document = harness.createDocument(
    7,
    [
      harness.createRoute({
        name: 'r-tag',
        pathPrefix: '/tag/',
        kind: 'streaming',
        service: 'llm',
        targetLatencyMs: 1_500,
        gapTargetMs: 180,
        stickySessions: true,
      }),
      harness.createRoute({
        name: 'r-lookup',
        pathPrefix: '/lookup/',
        kind: 'idempotent',
        service: 'desk',
        timeoutMs: TIMEOUT_MS,
        attempts: 2,
      }),
    ],
    [
      { name: 'llm', ...plain, engine },
      { name: 'desk', ...plain },
    ],
  );
  if ((await deployment.put(document, { timeoutMs: 15_000 })) === undefined) {
    throw new Error('the desired state was not acknowledged');
  }
  const [first, second] = deployment.entries;
  await deployment.awaitReady(first);
  await deployment.awaitReady(second);
  await harness.sleep(3_000);

  const lookups = { [first.name]: [], [second.name]: [] };
  const timer = setInterval(() => {
    deployment.entries.forEach(({ caller, name }) => {
      lookups[name].push(runners.consume({ caller, target: '/lookup/x', deadlineMs: TIMEOUT_MS }));
    });
  }, 1_000 / LOOKUPS_PER_S);
  const streams = [];
  for (let i = 0; i < STREAMS; i += 1) {
    streams.push(
      runners.consume({
        caller: first.caller,
        target: '/tag/x',
        method: 'POST',
        deadlineMs: 6_000,
        body: 'x'.repeat(600),
        headers: {
          'x-bramleyridge-model': 'm',
          'x-bramleyridge-token-count': '560,32',
          'x-bramleyridge-prompt-prefix': `5c1e07a2:210,91bd${i}:140`,
        },
      }),
    );
    await harness.sleep(100);
  }
  await harness.sleep(LAST_S * 1_000);
  clearInterval(timer);
  await harness.sleep(TIMEOUT_MS + 500);
  const now = performance.now();
  streams.forEach(({ endedAt, isComplete, requestId, status }) =>
    testCase.note(
      `stream ${requestId}: ${status}, complete ${isComplete}, ended ${endedAt !== undefined}`,
    ),
  );
  const verdicts = [first, second].map(({ name }) => {
    const late = lookups[name].filter(
      ({ answeredAt, sentAt }) => (answeredAt ?? now) - sentAt > TIMEOUT_MS,
    );
    const unanswered = late.filter(
      ({ answeredAt, sentAt }) => (answeredAt ?? now) - sentAt > TIMEOUT_MS + 500,
    );
    const served = lookups[name].filter(({ status }) => status === 200).length;
    testCase.note(
      `${name}: ${lookups[name].length} lookups, ${served} served, ${late.length} unanswered at their timeout, ` +
        `${unanswered.length} of these 0.5 s after it`,
    );
    return { late: late.length, unanswered: unanswered.length };
  });
  const late = verdicts.reduce((sum, item) => sum + item.late, 0);
  const unanswered = verdicts.reduce((sum, item) => sum + item.unanswered, 0);
  const ready = await harness.send({ address: first.ready, target: '/v1/readiness' });
  testCase.note(`readiness of ${first.name}: ${ready.status} ${ready.err ?? ''}`);
  return late >= 8 && unanswered > late / 2
    ? `${unanswered} of ${late} requests that were unanswered at their timeout had no answer 0.5 s later`
    : undefined;
});
