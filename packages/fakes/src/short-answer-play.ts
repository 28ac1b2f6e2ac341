import * as shortAnswers from './short-answer-upstream.js';
import type * as strictCallers from './strict-caller.js';

/** An answer that is cut short after some bytes. */
export interface ShortCase {
  readonly framing: keyof typeof shortAnswers.FRAMINGS;
  /** Number of bytes that are sent. */
  readonly length: number;
  readonly end: shortAnswers.ConnectionEnd;
}

/** A kind of calls. */
export interface ShortCallKind {
  readonly isStream: boolean;
  /** Maximum number of times that one call may run. */
  readonly maxRuns: number;
}

/** Options of `ShortAnswerPlay`; times in milliseconds. */
export interface ShortAnswerPlayOptions {
  readonly kinds: Readonly<Record<string, ShortCallKind>>;
  /** Name of the header with the id of a call. */
  readonly callIdHeader: string;
  /** Returns the headers of the answer to a call. */
  readonly createHeaders: (callId: string) => Record<string, string>;
  /** Creates the bytes of a call. */
  readonly createCall: (path: string, callId: string) => string;
  /** Time within which a call whose answer is cut short must end. */
  readonly maxMs: number;
  /** Connects a caller. */
  readonly connect: () => Promise<strictCallers.StrictCaller>;
}

/** What a play has shown. */
export interface ShortAnswerResult {
  /** What callers must never see, with its case. */
  readonly faults: string[];
  /** Numbers of calls, by kind of answer and by state of the upstream's connection. */
  readonly counts: Record<string, number>;
}

const { FRAMINGS } = shortAnswers;
const ENDS = ['close', 'reset', 'late close', 'late reset'] as const;
const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'];
const BODY = ['the first part, ', 'and the last one'];
const FRAMING_NAMES = Object.keys(FRAMINGS) as (keyof typeof FRAMINGS)[];

/** Framings that are played with two ends for each length; the others with one for every other length. */
const COMMON_FRAMINGS = new Set<string>(['length', 'chunked', 'until close']);

/** The last bytes of a head: the ends of its last line and of the head itself. */
const HEAD_END_BYTES = 4;

/** Of how many lengths within a head one is played, except for the first framing. */
const HEAD_STEP = 3;

/** Number of cases for each call whose answer is whole. */
const CASES_PER_GOOD_CALL = 3;

/** Statuses by which a call is refused as not run. */
const REFUSED = new Set([408, 421, 429, 503]);

/** How often a call is made that is refused, and the pause before the next time, in milliseconds. */
const MAX_TRIES = 40;
const RETRY_MS = 50;

const CALL_PATH = /^\/(\w+)\/(good|\d+)\//;

/** Plays calls whose answers are cut short beside others whose answers are whole. */
export class ShortAnswerPlay {
  public readonly result: ShortAnswerResult = { faults: [], counts: {} };
  private readonly runs = new Map<string, number>();
  private readonly cases: ShortCase[] = [];
  private lastCall = 0;

  public constructor(private readonly options: ShortAnswerPlayOptions) {}

  /** Answers a call as an upstream. */
  public answer(call: shortAnswers.ReceivedCall): shortAnswers.ShortAnswer {
    const callId = call.headers[this.options.callIdHeader] ?? '';
    const [, kind = '', index = ''] = CALL_PATH.exec(call.path) ?? [];
    if (this.options.kinds[kind] === undefined) {
      return { bytes: Buffer.from('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n') };
    }
    this.recordRun(callId);
    const { framing, length, end } = this.findCase(index) ?? {
      framing: 'length',
      length: Infinity,
      end: undefined,
    };
    this.count(end === undefined || call.number === 1 ? 'new connection' : 'reused connection');
    return { bytes: this.frame(kind, framing, callId).bytes.subarray(0, length), end };
  }

  /** Lists the cases of a kind of calls: lengths of its answers, as far as their framings differ; one of `step`. */
  public listCases(kind: string, step = 1): ShortCase[] {
    const common = this.frame(kind, 'length', 'c').bytes;
    const cases = FRAMING_NAMES.flatMap((framing) => {
      const { bytes, headLength } = this.frame(kind, framing, 'c');
      const isCommon = COMMON_FRAMINGS.has(framing);
      const first = framing === 'length' ? 0 : countCommon(bytes, common);
      const last = FRAMINGS[framing].body === 'until close' ? bytes.length : bytes.length - 1;
      return Array.from({ length: last + 1 - first }, (_, i) => first + i).flatMap((length) => {
        const isInHead = length < headLength - HEAD_END_BYTES;
        const [end, otherEnd] = [ENDS[length % ENDS.length]!, ENDS[(length + 1) % ENDS.length]!];
        if (isInHead) {
          return framing === 'length' || length % HEAD_STEP === 0 ? [{ framing, length, end }] : [];
        }
        if (!isCommon) {
          return length % 2 === 0
            ? [{ framing, length, end: length % 4 === 0 ? end : otherEnd }]
            : [];
        }
        return [end, otherEnd].map((item) => ({ framing, length, end: item }));
      });
    });
    return cases.filter((_, i) => i % step === 0);
  }

  /** Plays cases on several caller connections at once, with calls between them whose answers are whole. */
  public async play(kind: string, cases: readonly ShortCase[], concurrency: number): Promise<void> {
    const first = this.cases.length;
    this.cases.push(...cases);
    let next = first;
    const playNext = async (): Promise<void> => {
      let caller = await this.call(kind, 'good');
      while (next < this.cases.length) {
        const index = next;
        next += 1;
        caller = await this.call(kind, String(index), caller);
        if (index % CASES_PER_GOOD_CALL === 0) {
          caller = await this.call(kind, 'good', caller);
        }
      }
      caller?.close();
    };
    await Promise.all(Array.from({ length: concurrency }, playNext));
  }

  /** Records that a call has reached an upstream. */
  public recordRun(callId: string): void {
    this.runs.set(callId, (this.runs.get(callId) ?? 0) + 1);
  }

  /** Makes a call on a connection of its own, like `sendUntilRead`. */
  public async send(create: (callId: string) => string): Promise<strictCallers.StrictAnswer> {
    const { answer, caller } = await this.sendUntilRead(create, undefined);
    caller.close();
    return answer;
  }

  private async call(
    kind: string,
    target: string,
    former?: strictCallers.StrictCaller,
  ): Promise<strictCallers.StrictCaller | undefined> {
    const known = this.findCase(target);
    const create = (callId: string) =>
      this.options.createCall(`/${kind}/${target}/${callId}`, callId);
    try {
      const { answer, caller, callId } = await this.sendUntilRead(create, former);
      this.judge(kind, known, callId, answer).forEach((fault) => this.note(kind, known, fault));
      return caller;
    } catch (err) {
      this.note(kind, known, String(err));
      former?.close();
      return undefined;
    }
  }

  /**
   * Makes a call; repeats it as callers do while it is refused as not run, or its connection is closed before the call
   * has reached an upstream.
   */
  private async sendUntilRead(
    create: (callId: string) => string,
    former: strictCallers.StrictCaller | undefined,
  ) {
    let caller = former;
    for (let tries = 1; ; tries += 1) {
      caller = caller?.isOpen() === true ? caller : await this.connect();
      this.lastCall += 1;
      // All identifiers have the same length, and so have the answers that differ by them only.
      const callId = `c${String(this.lastCall).padStart(6, '0')}`;
      const answer = await caller.send(create(callId));
      const isRefused = REFUSED.has(answer.status) || answer.status === 0;
      if (!isRefused || this.runs.has(callId) || tries === MAX_TRIES) {
        return { answer, caller, callId };
      }
      this.count(`not run: ${answer.status}`);
      await pause();
    }
  }

  private async connect(): Promise<strictCallers.StrictCaller> {
    for (let tries = 1; ; tries += 1) {
      try {
        return await this.options.connect();
      } catch (err) {
        if (tries === MAX_TRIES) {
          throw err;
        }
      }
      this.count('connections refused');
      await pause();
    }
  }

  private note(kind: string, known: ShortCase | undefined, fault: string): void {
    const name = known === undefined ? 'good' : describe(known);
    this.result.faults.push(`${kind}, ${name}: ${fault}`);
  }

  private judge(
    kind: string,
    known: ShortCase | undefined,
    callId: string,
    answer: strictCallers.StrictAnswer,
  ): string[] {
    const { kinds, maxMs } = this.options;
    const { isStream, maxRuns } = kinds[kind]!;
    const runs = this.runs.get(callId) ?? 0;
    const { body, isWhole, status, tookMs } = answer;
    const isSuccess = status >= 200 && status < 300;
    const expected = known === undefined ? getParts(isStream).join('') : this.findBody(kind, known);
    const hasWholeHead =
      known !== undefined && known.length >= this.frame(kind, known.framing, callId).headLength;
    const seen = `${status}${isWhole ? '' : ' broken off'}`;
    if (known === undefined) {
      this.count('good');
    }
    this.count(`${known === undefined ? 'good' : 'cut'}: ${seen}`);
    const checks: Record<string, boolean> = {
      [`a whole success with ${JSON.stringify(body)}`]: isSuccess && isWhole && body !== expected,
      [`no whole failure: ${seen}`]: !isSuccess && !isWhole && !(isStream && hasWholeHead),
      [`status ${status} for a call that ran`]: REFUSED.has(status) && runs > 0,
      [`status ${status}`]: !isSuccess && ![0, 429, 502, 503].includes(status),
      [`it ran ${runs} times`]: runs > maxRuns,
      [`it took ${Math.round(tookMs)} ms`]: tookMs > maxMs,
      [`${seen}, though its answer was sent whole`]:
        known === undefined && (status === 502 || (isSuccess && !isWhole)),
    };
    return Object.keys(checks).filter((fault) => checks[fault]);
  }

  /** Returns the body of an answer if all of it was sent; undefined if it was cut short. */
  private findBody(kind: string, { end, framing, length }: ShortCase): string | undefined {
    const { isStream } = this.options.kinds[kind]!;
    const { bytes, headLength } = this.frame(kind, framing, 'c000000');
    if (FRAMINGS[framing].body !== 'until close') {
      return length < bytes.length ? undefined : getParts(isStream).join('');
    }
    // An answer without a length ends with its connection, wherever that is; a stream of events ends with an event.
    const body = bytes.subarray(headLength, length).toString();
    const isEnded = length >= headLength && end.endsWith('close');
    return isEnded && !(isStream && !body.endsWith('\n\n')) ? body : undefined;
  }

  private frame(kind: string, framing: keyof typeof FRAMINGS, callId: string) {
    const { createHeaders, kinds } = this.options;
    const { isStream } = kinds[kind]!;
    const headers = {
      ...createHeaders(callId.padEnd(7, '0')),
      'content-type': isStream ? 'text/event-stream' : 'text/plain',
    };
    return shortAnswers.frameAnswer(FRAMINGS[framing], headers, getParts(isStream));
  }

  private findCase(index: string): ShortCase | undefined {
    return index === 'good' ? undefined : this.cases[Number(index)];
  }

  private count(name: string): void {
    const { counts } = this.result;
    counts[name] = (counts[name] ?? 0) + 1;
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, RETRY_MS);
  });
}

function describe({ end, framing, length }: ShortCase): string {
  return `${framing}, ${end} after ${length} bytes`;
}

function getParts(isStream: boolean): readonly string[] {
  return isStream ? EVENTS : BODY;
}

function countCommon(a: Buffer, b: Buffer): number {
  const at = a.findIndex((byte, i) => byte !== b[i]);
  return at < 0 ? a.length : at;
}
