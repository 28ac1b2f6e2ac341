import * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

import * as exits from './exit-codes.js';

/** How long one daemon may take to answer, in milliseconds. */
const ANSWER_MS = 10_000;

/** How often every daemon is tried before giving up. */
const ROUNDS = 3;

/** An answer of the operators' API. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** Calls the operators' API through whichever daemon answers. */
export class OperatorClient {
  public constructor(
    private readonly urls: readonly string[],
    private readonly token: string,
  ) {}

  /**
   * One call. A lost answer is asked for again, also through another daemon; commands carry a request
   * identifier, so that the second try gets the first answer.
   */
  public async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Answer> {
    let last = 'no URL is given: use --url or BRAMLEYRIDGE_URL';
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const url of this.urls) {
        try {
          const answer = await this.callAt(url, method, path, body);
          if (answer.status !== 503) {
            return answer;
          }
          last = `${url}: ${JSON.stringify(answer.body)}`;
        } catch (err) {
          last = `${url}: ${schemas.toError(err).message}`;
        }
      }
    }
    throw new exits.ExitError(exits.EXIT.failed, `no daemon answered; last: ${last}`);
  }

  /** One call at one daemon. */
  public async callAt(
    url: string,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Answer> {
    const res = await undici.request(`${url}/operator/v1${path}`, {
      method,
      headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(ANSWER_MS),
    });
    return { status: res.statusCode, body: await res.body.json() };
  }

  /** One call whose failure ends the program. */
  public async get(path: string): Promise<unknown> {
    const answer = await this.call('GET', path);
    if (answer.status !== 200) {
      throw createFailure(answer);
    }
    return answer.body;
  }
}

/** The end of the program for an answer that is an error. */
export function createFailure(answer: Answer): exits.ExitError {
  const { error } = answer.body as Partial<schemas.ErrorBody>;
  const code = answer.status === 409 ? exits.EXIT.conflict : exits.EXIT.failed;
  return new exits.ExitError(code, error?.message ?? JSON.stringify(answer.body));
}
