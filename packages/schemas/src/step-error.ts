import * as util from 'node:util';

import * as verror from 'verror';

import * as messageMap from './messages.js';
import type * as outcomes from './outcome.js';

/** Options of {@link StepError}: the message and the step at which the error arose. */
export interface StepErrorOptions {
  readonly id: messageMap.MessageId;
  readonly step: string;
  readonly peer?: string;
  readonly args?: readonly (string | number)[];
  readonly cause?: unknown;
}

/** Converts a thrown value to an `Error`. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** An error with the step and the peer at which it arose. */
export class StepError extends verror.default {
  public readonly id: messageMap.MessageId;

  public constructor(options: StepErrorOptions) {
    const info = { step: options.step, peer: options.peer };
    const cause = options.cause === undefined ? undefined : toError(options.cause);
    const text = util.format(messageMap.messages[options.id], ...(options.args ?? []));
    super({ name: options.id, info, cause }, '%s', text);
    this.id = options.id;
  }
}

/** Options of {@link Refusal}, such as the HTTP status, the outcome and the delay before a retry. */
export interface RefusalOptions extends StepErrorOptions {
  readonly status: number;
  readonly outcome: outcomes.Outcome;
  readonly retryAfterS?: number;
  readonly param?: string;
  readonly location?: string;
}

/** An error that is returned to a caller or an operator. */
export class Refusal extends StepError {
  public readonly options: RefusalOptions;

  public constructor(options: RefusalOptions) {
    super(options);
    this.options = options;
  }

  /** Returns the JSON body of the error, in the format of the OpenAI API. */
  public toJson(): ErrorBody {
    return {
      error: {
        message: util.format(messageMap.messages[this.id], ...(this.options.args ?? [])),
        type: this.options.status < 500 ? 'invalid_request_error' : 'server_error',
        code: this.id,
        param: this.options.param ?? null,
        outcome: this.options.outcome,
      },
    };
  }
}

/** JSON body of errors. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly param: string | null;
    readonly outcome: outcomes.Outcome;
  };
}
