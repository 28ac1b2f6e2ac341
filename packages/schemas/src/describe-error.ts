import * as verror from 'verror';

import * as stepError from './step-error.js';

/** What a log line says of an error: where it arose, and in which code. */
export interface ErrorDescription {
  readonly err: string;
  readonly type: string;
  /** Step and peer of the error or of one of its causes, if one states them. */
  readonly step?: string | undefined;
  readonly peer?: string | undefined;
  /** The stack of the error and of its causes. */
  readonly stack: string;
}

/** Describes a thrown value for a log line. */
export function describeError(thrown: unknown): ErrorDescription {
  const err = stepError.toError(thrown);
  const { step, peer } = verror.default.info(err) as { step?: string; peer?: string };
  return { err: err.message, type: err.name, step, peer, stack: verror.default.fullStack(err) };
}
