import * as fakes from '@bramleyridge/fakes';

/** What a caller saw of one generation, over all its connections. */
export interface ReceivedStream {
  readonly status: number;
  readonly generation: string;
  readonly offsets: number[];
  text: string;
  outcome: string | undefined;
}

interface Chunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  readonly bramleyridge?: { readonly outcome: string };
  readonly error?: { readonly outcome: string };
}

/** A body for the fakes' model that makes so many tokens. */
export function createBody(tokens: number, isStream = true): object {
  return {
    model: 'drafter',
    stream: isStream,
    messages: [{ role: 'user', content: 'Draft the log.' }],
    max_tokens: tokens,
    fake_output_tokens: tokens,
  };
}

/** Asks for a streamed completion and reads it until its end, its loss, or `stopAfter` events. */
export async function stream(
  url: string,
  token: string,
  tokens: number,
  options: {
    readonly headers?: Record<string, string>;
    readonly stopAfter?: number;
    readonly onEvent?: (count: number) => void;
  } = {},
): Promise<ReceivedStream> {
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, ...options.headers },
    body: JSON.stringify(createBody(tokens)),
  });
  const generation = res.headers.get('bramleyridge-generation') ?? '';
  const seen: ReceivedStream = {
    status: res.status,
    generation,
    offsets: [],
    text: '',
    outcome: undefined,
  };
  if (res.status !== 200) {
    seen.outcome = res.headers.get('bramleyridge-outcome') ?? undefined;
    await res.text();
    return seen;
  }
  await readEvents(res, seen, options.stopAfter, options.onEvent);
  return seen;
}

/** Goes on with a generation at another daemon, behind what was already seen. */
export async function resume(url: string, token: string, seen: ReceivedStream): Promise<number> {
  const res = await fetch(`${url}/v1/generations/${seen.generation}/events`, {
    headers: {
      authorization: `Bearer ${token}`,
      'last-event-id': `${seen.generation}:${seen.offsets.at(-1) ?? -1}`,
    },
  });
  if (res.status === 200) {
    await readEvents(res, seen);
  } else {
    await res.text();
  }
  return res.status;
}

/** Whether what was seen is every token once, in order, from the generation that it names. */
export function isWhole(seen: ReceivedStream, tokens: number): boolean {
  const isInOrder = seen.offsets.every((offset, i) => offset === i);
  const isAll = seen.offsets.length === tokens + 1;
  return isInOrder && isAll && seen.text === fakes.getText(seen.generation, tokens);
}

async function readEvents(
  res: Response,
  seen: ReceivedStream,
  stopAfter = Infinity,
  onEvent: (count: number) => void = () => {},
): Promise<void> {
  const decoder = new TextDecoder();
  let pending = '';
  try {
    for await (const part of res.body as unknown as AsyncIterable<Uint8Array>) {
      pending += decoder.decode(part, { stream: true });
      const events = pending.split('\n\n');
      pending = events.pop() ?? '';
      for (const event of events) {
        take(event, seen);
        onEvent(seen.offsets.length);
        if (seen.offsets.length >= stopAfter) {
          await res.body?.cancel();
          return;
        }
      }
    }
  } catch {
    // The connection was lost; what was seen stays.
  }
}

function take(event: string, seen: ReceivedStream): void {
  const at = event.indexOf('data: ');
  const data = at < 0 ? '[DONE]' : event.slice(at + 'data: '.length);
  if (data === '[DONE]') {
    return;
  }
  const chunk = JSON.parse(data) as Chunk;
  seen.outcome = chunk.bramleyridge?.outcome ?? chunk.error?.outcome ?? seen.outcome;
  const id = /^id: .*:(\d+)$/m.exec(event);
  if (id !== null) {
    seen.offsets.push(Number(id[1]));
    seen.text += chunk.choices?.[0]?.delta?.content ?? '';
  }
}
