import type * as earlyAnswers from './early-answer-upstream.js';
import * as shortAnswers from './short-answer-upstream.js';
import type * as strictCallers from './strict-caller.js';

/** A call with a body of some size, and how it is answered. */
export interface EarlyCase {
  readonly name: string;
  readonly bodyBytes: number;
  /** Whether the answer is whole; otherwise it must never look so. */
  readonly isWhole: boolean;
  readonly framing: shortAnswers.AnswerFraming;
  readonly readsBody: boolean;
  readonly end: earlyAnswers.EarlyEnd;
}

/** A kind of calls. */
export interface EarlyCallKind {
  /** Maximum number of times that one call may run. */
  readonly maxRuns: number;
  /** Parts of the answers' bodies; the last one is missing in answers that are cut short. */
  readonly parts: readonly string[];
}

/** Options of `EarlyAnswerPlay`. */
export interface EarlyAnswerPlayOptions {
  readonly kinds: Readonly<Record<string, EarlyCallKind>>;
  readonly callIdHeader: string;
  /** Creates the bytes of a call. */
  readonly createCall: (path: string, callId: string, body: string) => string;
  /** Connects a caller. */
  readonly connect: () => Promise<strictCallers.StrictCaller>;
}

/** Sizes of bodies, in bytes; the system can't take the largest one without a reader. */
const SIZES = { large: 5_000_000, medium: 200_000, small: 1_000 } as const;

/** Framings whose end the connection marks. */
const UNMARKED = {
  'no framing': { body: 'until close' },
  'connection close': { body: 'until close', headers: { connection: 'close' } },
  'HTTP/1.0': { body: 'until close', version: 'HTTP/1.0' },
  identity: { body: 'until close', headers: { 'transfer-encoding': 'identity' } },
} as const satisfies Readonly<Record<string, shortAnswers.AnswerFraming>>;

const MARKED = {
  length: { body: 'length' },
  chunks: { body: 'chunked' },
  'length, closing': { body: 'length', headers: { connection: 'close' } },
} as const satisfies Readonly<Record<string, shortAnswers.AnswerFraming>>;

/** Ends of connections whose upload isn't read; the system shows the first one only while a part is unsent. */
const ENDS: Readonly<Record<string, earlyAnswers.EarlyEnd>> = {
  closed: { kind: 'close' },
  'closed and reset': { kind: 'close-and-reset', resetMs: 0 },
  'closed, reset after 30 ms': { kind: 'close-and-reset', resetMs: 30 },
  'closed, reset after 100 ms': { kind: 'close-and-reset', resetMs: 100 },
  reset: { kind: 'reset' },
};

/** The ends that can be told from the end of an answer, by the size of the upload. */
const ENDS_BY_SIZE: Readonly<Record<keyof typeof SIZES, readonly string[]>> = {
  large: Object.keys(ENDS),
  medium: Object.keys(ENDS).slice(1),
  small: ['reset'],
};

/** Statuses by which a call is refused as not run. */
const REFUSED = new Set([408, 421, 429, 503]);

/** How often a call is made that is refused as not run, and the pause before the next time, in milliseconds. */
const MAX_TRIES = 40;
const RETRY_MS = 50;

const CALL_PATH = /\/(\w+)\/(\d+)\/[^/]*$/;

/** Plays uploads that are answered before they were read, and others whose answers are whole. */
export class EarlyAnswerPlay {
  private readonly runs = new Map<string, number>();
  private readonly cases = listCases();
  private lastCall = 0;

  public constructor(private readonly options: EarlyAnswerPlayOptions) {}

  /** Answers a call as an upstream. */
  public answer(call: shortAnswers.ReceivedCall): earlyAnswers.EarlyAnswer {
    const [, kind = '', index = ''] = CALL_PATH.exec(call.path) ?? [];
    const known = this.cases[Number(index || -1)];
    const callId = call.headers[this.options.callIdHeader] ?? '';
    if (known === undefined) {
      const bytes = Buffer.from('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
      return { bytes, readsBody: true, end: { kind: 'none' } };
    }
    this.runs.set(callId, (this.runs.get(callId) ?? 0) + 1);
    const { callIdHeader, kinds } = this.options;
    const { parts } = kinds[kind]!;
    const sent = known.isWhole ? parts : parts.slice(0, -1);
    const { bytes } = shortAnswers.frameAnswer(known.framing, { [callIdHeader]: callId }, sent);
    return { bytes, readsBody: known.readsBody, end: known.end };
  }

  /** Plays all cases with one kind of calls, `concurrency` at once, and returns what callers must never see. */
  public async play(
    kind: string,
    isWhole: boolean,
    concurrency: number,
  ): Promise<{ readonly faults: readonly string[]; readonly calls: number }> {
    const faults: string[] = [];
    const left = this.cases.flatMap((item, index) => (item.isWhole === isWhole ? [index] : []));
    const calls = left.length;
    const playNext = async (): Promise<void> => {
      for (let index = left.shift(); index !== undefined; index = left.shift()) {
        const known = this.cases[index]!;
        const found = await this.call(kind, index, known);
        faults.push(...found.map((fault) => `${kind}, ${known.name}: ${fault}`));
      }
    };
    await Promise.all(Array.from({ length: concurrency }, playNext));
    return { faults, calls };
  }

  /** Returns the shortest time of several calls with small bodies whose answers end with their connection. */
  public async measureSmall(kind: string, count: number): Promise<number> {
    const index = this.cases.findIndex(
      ({ bodyBytes, framing, isWhole }) =>
        isWhole && bodyBytes === SIZES.small && framing.body === 'until close',
    );
    const times: number[] = [];
    while (times.length < count) {
      const { answer } = await this.send(kind, index, SIZES.small);
      times.push(answer.tookMs);
    }
    return Math.min(...times);
  }

  private async call(kind: string, index: number, known: EarlyCase): Promise<string[]> {
    const { callId, answer } = await this.send(kind, index, known.bodyBytes);
    const runs = this.runs.get(callId) ?? 0;
    const { maxRuns, parts } = this.options.kinds[kind]!;
    const seen = `${answer.status}, ${answer.isWhole ? 'whole' : 'cut'}, ${JSON.stringify(answer.body.slice(0, 80))}`;
    if (known.isWhole) {
      const isServed =
        answer.status === 200 && answer.isWhole && answer.body === parts.join('') && runs === 1;
      return isServed ? [] : [`not served as whole: ${seen}, ran ${runs} times`];
    }
    return [
      ...(runs === 0 ? ['did not run'] : []),
      ...(answer.status === 200 && answer.isWhole ? [`a part as whole: ${seen}`] : []),
      ...(REFUSED.has(answer.status) && runs > 0 ? [`ran and was refused: ${seen}`] : []),
      ...(runs > maxRuns ? [`ran ${runs} times`] : []),
    ];
  }

  private async send(kind: string, index: number, bodyBytes: number) {
    for (let tries = 1; ; tries += 1) {
      const caller = await this.options.connect();
      this.lastCall += 1;
      const callId = `c${String(this.lastCall).padStart(6, '0')}`;
      const body = callId.repeat(Math.ceil(bodyBytes / callId.length)).slice(0, bodyBytes);
      const path = `/${kind}/${index}/${callId}`;
      const answer = await caller.send(this.options.createCall(path, callId, body));
      caller.close();
      if (!REFUSED.has(answer.status) || this.runs.has(callId) || tries === MAX_TRIES) {
        return { callId, answer };
      }
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_MS);
      });
    }
  }
}

function listCases(): EarlyCase[] {
  const sizes = Object.keys(SIZES) as (keyof typeof SIZES)[];
  const cut = sizes.flatMap((size) =>
    Object.entries(UNMARKED).flatMap(([framingName, framing]) =>
      ENDS_BY_SIZE[size].map((endName) => ({
        name: `${size} upload, ${framingName}, ${endName}`,
        bodyBytes: SIZES[size],
        isWhole: false,
        framing,
        readsBody: false,
        end: ENDS[endName]!,
      })),
    ),
  );
  const whole = sizes.flatMap((size) =>
    Object.entries({ ...UNMARKED, ...MARKED }).map(([framingName, framing]) => ({
      name: `${size} upload that is read, ${framingName}`,
      bodyBytes: SIZES[size],
      isWhole: true,
      framing,
      readsBody: true,
      end: {
        kind: framing.body === 'until close' ? ('close' as const) : ('none' as const),
      },
    })),
  );
  const early = sizes.flatMap((size) =>
    Object.entries(MARKED).map(([framingName, framing]) => ({
      name: `${size} upload that is not read, ${framingName}, closed`,
      bodyBytes: SIZES[size],
      isWhole: true,
      framing,
      readsBody: false,
      end: ENDS.closed!,
    })),
  );
  return [...cut, ...whole, ...early];
}
