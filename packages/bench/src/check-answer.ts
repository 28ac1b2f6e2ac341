import * as fakes from '@bramleyridge/fakes';

/** Result of checking the response to one request. */
export interface CheckResult {
  readonly kind: 'complete' | 'refused' | 'broken';
  readonly tokens: number;
  readonly detail: string;
}

interface StreamChunk {
  readonly choices?: readonly { readonly text?: string; readonly delta?: { content?: string } }[];
  readonly bramleyridge?: { readonly outcome: string; readonly tokens: number };
  readonly error?: { readonly outcome: string; readonly message: string };
}

/** Sends a streamed completion and compares every token with the text that a fake engine generates. */
export async function checkStream(
  url: string,
  token: string,
  body: object,
  headers: Readonly<Record<string, string>> = {},
): Promise<CheckResult> {
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify({ ...body, stream: true }),
  });
  if (res.status !== 200) {
    return checkRefusal(res, await res.text());
  }
  const generation = res.headers.get('bramleyridge-generation') ?? '';
  return checkEvents(generation, await res.text());
}

/** Checks that the events of a stream are consecutive and hold the text of the given generation. */
export function checkEvents(generation: string, text: string): CheckResult {
  let expected = 0;
  let outcome: StreamChunk['bramleyridge'];
  for (const event of text.split('\n\n').filter((part) => part.includes('data: '))) {
    const id = /^id: (.*):(\d+)$/m.exec(event);
    const data = event.slice(event.indexOf('data: ') + 'data: '.length);
    if (data === '[DONE]') {
      continue;
    }
    const chunk = JSON.parse(data) as StreamChunk;
    outcome = chunk.bramleyridge ?? outcome;
    if (id !== null) {
      const content = chunk.choices?.[0]?.delta?.content ?? chunk.choices?.[0]?.text ?? '';
      const isExpected = id[1] === generation && Number(id[2]) === expected;
      const isLast = content === '';
      if (!isExpected || (!isLast && content !== fakes.getTokenText(generation, expected))) {
        return { kind: 'broken', tokens: expected, detail: `event ${expected}: ${event}` };
      }
      expected += 1;
    }
  }
  const tokens = Math.max(0, expected - 1);
  const isComplete = outcome?.outcome === 'complete' && outcome.tokens === tokens;
  return { kind: isComplete ? 'complete' : 'broken', tokens, detail: JSON.stringify(outcome) };
}

/** Sends a completion without streaming and compares its text. */
export async function checkBuffered(
  url: string,
  token: string,
  body: object,
): Promise<CheckResult> {
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await res.text();
  if (res.status !== 200) {
    return checkRefusal(res, text);
  }
  const answer = JSON.parse(text) as {
    id: string;
    choices: { message: { content: string } }[];
    usage: { completion_tokens: number };
  };
  const tokens = answer.usage.completion_tokens;
  const isSameText = answer.choices[0]?.message.content === fakes.getText(answer.id, tokens);
  const outcome = res.headers.get('bramleyridge-outcome');
  const isComplete = isSameText && outcome === 'complete';
  return { kind: isComplete ? 'complete' : 'broken', tokens, detail: text.slice(0, 200) };
}

/** Returns `refused` only when the response states that the request was not run. */
function checkRefusal(res: Response, text: string): CheckResult {
  const isNotRun = res.headers.get('bramleyridge-outcome') === 'not-run';
  return { kind: isNotRun ? 'refused' : 'broken', tokens: 0, detail: `${res.status} ${text}` };
}
