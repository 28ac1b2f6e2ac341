import * as fakes from '@bramleyridge/fakes';

/** What a caller received of one generation, over all its connections. */
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

/** Creates a request body that makes the fake engine generate the given number of tokens. */
export function createBody(tokens: number, isStream = true): object {
  return {
    model: 'drafter',
    stream: isStream,
    messages: [{ role: 'user', content: 'Draft the log.' }],
    max_tokens: tokens,
    fake_output_tokens: tokens,
  };
}

/**
 * Requests a streamed completion and reads it until it ends, is interrupted, or has sent
 * `stopAfter` events.
 */
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
  const received: ReceivedStream = {
    status: res.status,
    generation,
    offsets: [],
    text: '',
    outcome: undefined,
  };
  if (res.status !== 200) {
    received.outcome = res.headers.get('bramleyridge-outcome') ?? undefined;
    await res.text();
    return received;
  }
  await readEvents(res, received, options.stopAfter, options.onEvent);
  return received;
}

/** Resumes a generation at another daemon, after the last received event. */
export async function resume(
  url: string,
  token: string,
  received: ReceivedStream,
): Promise<number> {
  const res = await fetch(`${url}/v1/generations/${received.generation}/events`, {
    headers: {
      authorization: `Bearer ${token}`,
      'last-event-id': `${received.generation}:${received.offsets.at(-1) ?? -1}`,
    },
  });
  if (res.status === 200) {
    await readEvents(res, received);
  } else {
    await res.text();
  }
  return res.status;
}

/**
 * Returns whether every token was received exactly once, in order, with the text of this
 * generation.
 */
export function isWhole(received: ReceivedStream, tokens: number): boolean {
  const isInOrder = received.offsets.every((offset, i) => offset === i);
  const isComplete = received.offsets.length === tokens + 1;
  return isInOrder && isComplete && received.text === fakes.getText(received.generation, tokens);
}

async function readEvents(
  res: Response,
  received: ReceivedStream,
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
        recordEvent(event, received);
        onEvent(received.offsets.length);
        if (received.offsets.length >= stopAfter) {
          await res.body?.cancel();
          return;
        }
      }
    }
  } catch {
    // The connection was lost; the received events stay recorded.
  }
}

function recordEvent(event: string, received: ReceivedStream): void {
  const dataStart = event.indexOf('data: ');
  const data = dataStart < 0 ? '[DONE]' : event.slice(dataStart + 'data: '.length);
  if (data === '[DONE]') {
    return;
  }
  const chunk = JSON.parse(data) as Chunk;
  received.outcome = chunk.bramleyridge?.outcome ?? chunk.error?.outcome ?? received.outcome;
  const id = /^id: .*:(\d+)$/m.exec(event);
  if (id !== null) {
    received.offsets.push(Number(id[1]));
    received.text += chunk.choices?.[0]?.delta?.content ?? '';
  }
}
