import * as fakes from '@bramleyridge/fakes';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as cuttingRelays from './support/cutting-relay.js';
import * as deployments from './support/small-deployment.js';

/** Time within which a completion must end, in milliseconds. */
const MAX_MS = 4_000;

/** Number of callers. */
const CALLERS = 8;

/** Number of tokens of each completion. */
const TOKENS = 4;

/** The most bytes that are passed on: more than the head and the first events of an answer. */
const MAX_LENGTH = 420;

/** Number of cases for each call whose answer is whole. */
const CASES_PER_GOOD_CALL = 3;

const ENDS = ['close', 'reset', 'late close', 'late reset'] as const;

/** Finds the cut in the prompt of a completion. */
const CUT_PROMPT = /^POST \/v1\/.*cut after (\d+) bytes, (close|reset|late close|late reset)"/s;

const KINDS = { streamed: { isStream: true, step: 1 }, whole: { isStream: false, step: 2 } };

function findCut(call: string): cuttingRelays.Cut | undefined {
  const [, length, end] = CUT_PROMPT.exec(call) ?? [];
  return length === undefined
    ? undefined
    : { length: Number(length), end: end as fakes.ConnectionEnd };
}

function createCall(isStream: boolean, prompt: string): string {
  const body = JSON.stringify({
    model: 'drafter',
    stream: isStream,
    messages: [{ role: 'user', content: prompt }],
    max_tokens: TOKENS,
    fake_output_tokens: TOKENS,
  });
  const authorization = `authorization: Bearer ${deployments.TOKENS.sales}`;
  return `POST /v1/chat/completions HTTP/1.1\r\nhost: daemon\r\n${authorization}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
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

/** Lists what a caller must not see. */
function judge(
  deployment: deployments.SmallDeployment,
  isStream: boolean,
  { body, headers, isWhole, status, tookMs }: fakes.StrictAnswer,
): string[] {
  const generation = headers[schemas.GENERATION_HEADER] ?? '';
  const isSuccess = status === 200 && isWhole;
  const text = isSuccess ? readText(isStream, body) : undefined;
  const isInterrupted = isSuccess && isStream && body.includes('data: {"error"');
  const runs = deployment.countRuns(generation);
  const checks: Record<string, boolean> = {
    [`a whole success with ${JSON.stringify(body)}`]:
      isSuccess && text !== fakes.getText(generation, TOKENS) && !isInterrupted,
    [`status ${status}${isWhole ? '' : ', broken off'}`]:
      !isSuccess && !(status === 502 && isWhole),
    [`${runs} runs`]: runs > 1 || (isSuccess && runs !== 1),
    [`it took ${Math.round(tookMs)} ms`]: tookMs > MAX_MS,
  };
  return Object.keys(checks).filter((fault) => checks[fault]);
}

// Guards against a completion that is framed as whole though its engine's answer was cut short, and a second run of it.
void tap.default.test('answers of an engine cut short', async (t) => {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 1);
  await deployment.start(t);
  const engine = deployment.upstreams.find(({ upstreamId }) => upstreamId === 'engine-a-1')!;
  const relay = new cuttingRelays.CuttingRelay(Number(new URL(engine.url).port), findCut);
  const url = await relay.listen();
  t.teardown(() => relay.close());
  deployment.platform.set(
    deployment.upstreams.map((item) => (item === engine ? { ...item, url } : item)),
  );
  const { callerPort, host } = deployment.running[0]!.cfg;
  const connect = () => fakes.StrictCaller.connect(callerPort, host);
  const counts: Record<string, number> = {};
  let firstCalls = 0;
  await deployment.waitUntil('the relay', async () => {
    const caller = await connect();
    firstCalls += 1;
    await caller.send(createCall(true, `${firstCalls}: cut after 0 bytes, close`));
    caller.close();
    return relay.cuts > 0;
  });
  for (const [name, { isStream, step }] of Object.entries(KINDS)) {
    await t.test(name, async (tt) => {
      const faults: string[] = [];
      let next = 0;
      const playNext = async (): Promise<void> => {
        let caller = await connect();
        while (next <= MAX_LENGTH) {
          const cut = `cut after ${next} bytes, ${ENDS[(next / step) % ENDS.length]!}`;
          next += step;
          const prompts = next % CASES_PER_GOOD_CALL === 0 ? [cut, `good, number ${next}`] : [cut];
          for (const prompt of prompts) {
            caller = caller.isOpen() ? caller : await connect();
            const answer = await caller.send(createCall(isStream, prompt));
            const seen = `${name}, ${prompt === cut ? 'cut' : 'good'}: ${answer.status}`;
            counts[seen] = (counts[seen] ?? 0) + 1;
            faults.push(
              ...judge(deployment, isStream, answer).map((fault) => `${prompt}: ${fault}`),
            );
          }
        }
        caller.close();
      };
      await Promise.all(Array.from({ length: CALLERS }, playNext));
      tt.same(faults, []);
    });
  }
  t.comment(JSON.stringify({ ...counts, cuts: relay.cuts, onReused: relay.cutsOnReused }));
  t.ok(relay.cutsOnReused > 0, 'answers on reused connections were cut');
  const total = deployment.engines.reduce((sum, { record }) => sum + record.size, 0);
  const calls = Object.values(counts).reduce((sum, count) => sum + count, 0);
  t.ok(total <= calls + firstCalls, `${total} generations for ${calls} calls`);
});
