import * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

import * as exits from './exit-codes.js';

/** Timeout of a request to one daemon, in milliseconds. */
const ANSWER_TIMEOUT_MS = 10_000;

/** Number of attempts at each daemon before a call fails. */
const MAX_ROUNDS = 3;

/** Response of the operators' API. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** Calls the operators' API through the first daemon that answers. */
export class OperatorClient {
  public constructor(
    private readonly urls: readonly string[],
    private readonly token: string,
  ) {}

  /**
   * Sends a request. Without an answer, or with status 503, the request is retried, also through other daemons.
   * Commands carry a request identifier, so that a retry gets the answer of the first attempt.
   */
  public async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Answer> {
    let lastFailure = 'no URL is given: use --url or BRAMLEYRIDGE_URL';
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      for (const url of this.urls) {
        try {
          const answer = await this.callAt(url, method, path, body);
          if (answer.status !== 503) {
            return answer;
          }
          lastFailure = `${url}: ${JSON.stringify(answer.body)}`;
        } catch (err) {
          lastFailure = `${url}: ${schemas.toError(err).message}`;
        }
      }
    }
    throw new exits.ExitError(
      exits.EXIT.failed,
      `no daemon answered; last failure: ${lastFailure}`,
    );
  }

  /** Sends a request to one daemon. */
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
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    return { status: res.statusCode, body: await res.body.json() };
  }

  /** Sends a GET request; any status but 200 ends the program with an error. */
  public async get(path: string): Promise<unknown> {
    const answer = await this.call('GET', path);
    if (answer.status !== 200) {
      throw createFailure(answer);
    }
    return answer.body;
  }
}

/** Creates the error that ends the program for an error response. */
export function createFailure(answer: Answer): exits.ExitError {
  const { error } = answer.body as Partial<schemas.ErrorBody>;
  const code = answer.status === 409 ? exits.EXIT.conflict : exits.EXIT.failed;
  return new exits.ExitError(code, error?.message ?? JSON.stringify(answer.body));
}
