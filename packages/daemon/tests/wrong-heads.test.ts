import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as rewritingRelays from './support/rewriting-relay.js';
import * as deployments from './support/small-deployment.js';

/** Time within which a call whose answer is wrong must end, in milliseconds. */
const MAX_MS = 8_000;

/** Number of calls at once. */
const CALLERS = 8;

/** Number of upstreams of the service. */
const UPSTREAMS = 3;

/** Number of cases for each call whose answer is right. */
const CASES_PER_GOOD_CALL = 3;

/** Number of tokens of each completion. */
const TOKENS = 4;

const BODY = ['the first part, ', 'and the last one'];
const ANSWERS: Readonly<Record<string, fakes.UnusualAnswer>> = {
  ...fakes.WRONG_ANSWERS,
  ...fakes.RIGHT_ANSWERS,
};

/** The kinds of calls to services, by the first part of their paths. */
const KINDS = {
  plain: { isStream: false, maxRuns: Infinity, method: 'GET' },
  once: { isStream: false, maxRuns: 1, method: 'POST' },
} as const;

/** The paths to upstreams. */
const PATHS = {
  'over the daemon itself': { isCut: false },
  'through another daemon': { isCut: true },
};

/** Answers of engines: their protocol knows no status of success but 200. */
const ENGINE_ANSWERS: Readonly<Record<string, fakes.UnusualAnswer>> = Object.fromEntries(
  Object.entries(ANSWERS).filter(
    ([name, { statusLine }]) => name in fakes.WRONG_ANSWERS || statusLine === undefined,
  ),
);

/** Lists answers with right ones between them. */
function listNames(answers: Readonly<Record<string, fakes.UnusualAnswer>>): string[] {
  return Object.keys(answers).flatMap((name, i) =>
    i % CASES_PER_GOOD_CALL === 0 ? [name, 'a right one'] : [name],
  );
}

/** Makes calls with all names, several at once, and lists what callers must not see. */
async function judgeAll(
  answers: Readonly<Record<string, fakes.UnusualAnswer>>,
  judge: (name: string) => Promise<string[]>,
): Promise<string[]> {
  const names = listNames(answers);
  const faults: string[] = [];
  const playNext = async (): Promise<void> => {
    for (let name = names.shift(); name !== undefined; name = names.shift()) {
      const found = await judge(name);
      faults.push(...found.map((fault) => `${name}: ${fault}`));
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, playNext));
  return faults;
}

function listFaults(checks: Readonly<Record<string, boolean>>): string[] {
  return Object.keys(checks).filter((fault) => checks[fault]);
}

function createCall(method: string, path: string, lines: object, body: string): string {
  const head = Object.entries({
    host: 'site.example',
    authorization: `Bearer ${deployments.TOKENS.sales}`,
    'content-length': body.length,
    ...lines,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${head.join('')}\r\n${body}`;
}

function describe({ headers, isWhole, status }: fakes.StrictAnswer): string {
  return `${status} ${JSON.stringify(headers)}, ${isWhole ? 'whole' : 'broken off'}`;
}

async function startServices(t: tap.Test, isCut: boolean) {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], isCut ? 2 : 1);
  await deployment.start(t);
  const { callerPort, host } = deployment.running[0]!.cfg;
  const runs = new Map<string, number>();
  const play = new fakes.ShortAnswerPlay({
    kinds: KINDS,
    callIdHeader: 'call-id',
    createHeaders: () => ({}),
    createCall: () => '',
    maxMs: MAX_MS,
    connect: () => fakes.StrictCaller.connect(callerPort, host),
  });
  const upstreams = await Promise.all(
    Array.from({ length: UPSTREAMS }, async (_, i) => {
      const upstream = new fakes.ShortAnswerUpstream(({ headers, path }) => {
        const callId = headers['call-id'] ?? '';
        play.recordRun(callId);
        runs.set(callId, (runs.get(callId) ?? 0) + 1);
        const unusual = ANSWERS[decodeURIComponent(path.split('/')[2] ?? '')] ?? {};
        return { bytes: fakes.frameUnusualAnswer(unusual, { 'call-id': callId }, BODY) };
      });
      const address = await upstream.listen();
      t.teardown(() => upstream.close());
      const known = deployment.upstreams.find(({ upstreamId }) => upstreamId === 'booking-a')!;
      return { ...known, upstreamId: `wrong-${i}`, url: `http://${address}` };
    }),
  );
  deployment.platform.set([
    ...deployment.upstreams.filter(({ service }) => service !== 'booking'),
    ...upstreams,
  ]);
  const waitUntilServed = () =>
    deployment.waitUntil('the upstreams', async () => {
      const res = await fetch(`${deployment.getUrl(0)}/services/booking/plain/good/first`, {
        headers: { authorization: `Bearer ${deployments.TOKENS.sales}` },
      });
      return (await res.text()).startsWith(BODY[0]!);
    });
  await waitUntilServed();
  if (isCut) {
    deployment.dialers.get('a-1')!.cut('reset');
    await waitUntilServed();
  }
  return { deployment, play, runs };
}

for (const [path, { isCut }] of Object.entries(PATHS)) {
  // Guards against an answer of a service with a wrong status, head or trailer that is passed on.
  void tap.default.test(`services that answer with a wrong head, ${path}`, async (t) => {
    const { deployment, play, runs } = await startServices(t, isCut);
    const openedBefore = deployment.dialers.get('a-1')!.opened;
    for (const [kind, { maxRuns, method }] of Object.entries(KINDS)) {
      await t.test(kind, async (tt) => {
        const faults = await judgeAll(ANSWERS, async (name) => {
          let lastId = '';
          const seen = await play.send((callId) => {
            lastId = callId;
            const target = `/services/booking/${kind}/${encodeURIComponent(name)}/${callId}`;
            return createCall(method, target, { 'call-id': callId }, callId);
          });
          const isFailure = seen.status === 502 && seen.isWhole;
          const isRight =
            seen.isWhole && seen.body === BODY.join('') && ![429, 502, 503].includes(seen.status);
          const calls = runs.get(lastId) ?? 0;
          return listFaults({
            [describe(seen)]: fakes.WRONG_ANSWERS[name] === undefined ? !isRight : !isFailure,
            [`${calls} runs`]: calls > maxRuns || calls === 0,
            [`${Math.round(seen.tookMs)} ms`]: seen.tookMs > MAX_MS,
          });
        });
        tt.same(faults, []);
      });
    }
    t.comment(JSON.stringify(play.result.counts));
    if (isCut) {
      const { opened } = deployment.dialers.get('a-1')!;
      t.equal(opened, openedBefore, 'the daemon reaches no upstream');
    }
  });
}

const PROMPT = /^POST \/v1\/.*?"(start|all): ([^"]+)"/s;

function findAnswer(call: string) {
  const [, which, name = ''] = PROMPT.exec(call) ?? [];
  const answer = ENGINE_ANSWERS[name];
  return answer === undefined ? undefined : { answer, isKept: which === 'all' };
}

function createCompletion(isStream: boolean, prompt: string): string {
  const body = JSON.stringify({
    model: 'drafter',
    stream: isStream,
    messages: [{ role: 'user', content: prompt }],
    max_tokens: TOKENS,
    fake_output_tokens: TOKENS,
  });
  return createCall('POST', '/v1/chat/completions', {}, body);
}

/** Reads the text of a successful answer; undefined if it says that it isn't complete. */
function readText(isStream: boolean, body: string): string | undefined {
  interface Chunk {
    readonly choices: { readonly delta?: { content?: string }; message?: { content: string } }[];
  }
  if (!isStream) {
    return (JSON.parse(body) as Chunk).choices[0]?.message?.content;
  }
  if (!body.endsWith('data: [DONE]\n\n')) {
    return undefined;
  }
  return [...body.matchAll(/^data: (\{.*)$/gm)]
    .map(([, data]) => (JSON.parse(data!) as Chunk).choices[0]?.delta?.content ?? '')
    .join('');
}

for (const [path, { isCut }] of Object.entries(PATHS)) {
  // Guards against a completion that counts as complete though its engine's answer was none, and a second run of it.
  void tap.default.test(`engines that answer with a wrong head, ${path}`, async (t) => {
    const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], isCut ? 2 : 1);
    await deployment.start(t);
    const engine = deployment.upstreams.find(({ upstreamId }) => upstreamId === 'engine-a-1')!;
    const relay = new rewritingRelays.RewritingRelay(Number(new URL(engine.url).port), findAnswer);
    const url = await relay.listen();
    t.teardown(() => relay.close());
    deployment.platform.set(
      deployment.upstreams.map((item) => (item === engine ? { ...item, url } : item)),
    );
    const { callerPort, host } = deployment.running[0]!.cfg;
    const send = async (isStream: boolean, prompt: string) => {
      const caller = await fakes.StrictCaller.connect(callerPort, host);
      const answer = await caller.send(createCompletion(isStream, prompt));
      caller.close();
      return answer;
    };
    const waitUntilRelayed = async () => {
      const before = relay.rewritten;
      await deployment.waitUntil('the relay', async () => {
        await send(true, 'start: an informational head');
        return relay.rewritten > before;
      });
    };
    await waitUntilRelayed();
    const dialer = deployment.dialers.get('a-1')!;
    if (isCut) {
      dialer.cut('reset');
      await waitUntilRelayed();
    }
    const openedBefore = dialer.opened;
    const counts: Record<string, number> = {};
    for (const which of ['start', 'all']) {
      for (const isStream of [true, false]) {
        await t.test(`${which}, ${isStream ? 'streamed' : 'in one piece'}`, async (tt) => {
          const faults = await judgeAll(ENGINE_ANSWERS, async (name) => {
            const seen = await send(isStream, `${which}: ${name}`);
            const { body, headers, isWhole, status, tookMs } = seen;
            const generation = headers[schemas.GENERATION_HEADER] ?? '';
            const isSuccess = status === 200 && isWhole;
            const isWrong = fakes.WRONG_ANSWERS[name] !== undefined;
            const isInterrupted = isSuccess && isStream && body.includes('data: {"error"');
            const isComplete =
              isSuccess && readText(isStream, body) === fakes.getText(generation, TOKENS);
            const count = `${which}, ${isWrong ? 'wrong' : 'right'}: ${status}${isInterrupted ? ' interrupted' : ''}`;
            counts[count] = (counts[count] ?? 0) + 1;
            const isFailure = isInterrupted || (status === 502 && isWhole);
            const runs = deployment.countRuns(generation);
            return listFaults({
              [describe(seen)]: !isComplete && !(isWrong && isFailure),
              [`${runs} runs`]: runs > 1 || (isSuccess && runs !== 1),
              [`${Math.round(tookMs)} ms`]: tookMs > MAX_MS,
            });
          });
          tt.same(faults, []);
        });
      }
    }
    t.comment(JSON.stringify({ ...counts, rewritten: relay.rewritten }));
    if (isCut) {
      t.equal(dialer.opened, openedBefore, 'the daemon reaches no upstream');
    }
  });
}
