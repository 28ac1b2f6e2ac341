import * as paths from '@bramleyridge/paths';
import * as schemas from '@bramleyridge/schemas';

/**
 * What is certain about a failed call: `unreachable` and `refused` calls did not run, `lost` ones may have run, and
 * after `gone` the process or the generation that was addressed no longer exists. A `withheld` call was not sent, since
 * the upstream takes no more calls now, this host no more connections, or the call can't be written as an HTTP request.
 */
export type FailureKind = 'unreachable' | 'refused' | 'lost' | 'gone' | 'withheld';

/** The codes of errors that occur before any byte is sent to the upstream. */
const CONNECT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** The code of errors of an HTTP client that refuses to write a request, as with a line break in a header. */
const UNSENDABLE_CODE = 'UND_ERR_INVALID_ARG';

/** The message for each kind of failure. */
const MESSAGE_IDS = {
  unreachable: 'upstreamUnreachable',
  refused: 'upstreamRefused',
  lost: 'ranUnknown',
  gone: 'upstreamUnreachable',
  withheld: 'upstreamWithheld',
} as const;

/** The failure of a call to an upstream. */
export class UpstreamError extends schemas.StepError {
  public constructor(
    public readonly kind: FailureKind,
    step: string,
    peer: string,
    cause?: unknown,
  ) {
    super({
      id: isUnsendable(cause) ? 'callUnsendable' : MESSAGE_IDS[kind],
      step,
      peer,
      cause,
    });
  }

  /**
   * Returns whether the upstream answered a call that failed before its answer began; `undefined` if the failure shows
   * nothing about it, since nothing was sent or only this host has lost its path.
   */
  public hasAnswer(): boolean | undefined {
    const isUnanswered = this.kind === 'unreachable' || this.kind === 'lost';
    const isPathFailure = this.cause() instanceof paths.PathBlockedError;
    return this.kind === 'refused' || (isUnanswered && !isPathFailure ? false : undefined);
  }

  /**
   * Returns whether the address refused the connection: the upstream's process has ended, and with it all its runs.
   */
  public isConnectionRefused(): boolean {
    return getCode(this.cause()) === 'ECONNREFUSED';
  }
}

/** Wraps an error as `unreachable` or `withheld` if it occurred before any byte was sent, and as `lost` otherwise. */
export function createUpstreamError(err: unknown, step: string, peer: string): UpstreamError {
  if (err instanceof UpstreamError) {
    return err;
  }
  return new UpstreamError(getFailureKind(err), step, peer, err);
}

function getFailureKind(err: unknown): FailureKind {
  if (isUnsendable(err) || err instanceof paths.ConnectionLimitError || isUnsentByPath(err)) {
    return 'withheld';
  }
  return isConnectFailure(err) ? 'unreachable' : 'lost';
}

function isUnsendable(err: unknown): boolean {
  return getCode(err) === UNSENDABLE_CODE;
}

/** Returns whether a call was given up before it was sent, since its path was found to be blocked. */
function isUnsentByPath(err: unknown): boolean {
  return err instanceof paths.PathBlockedError && paths.isConnectFailure(err);
}

/**
 * Returns whether the connection was never established. A host may also become unreachable during a call, with the
 * same error codes but from another system call than `connect`.
 */
function isConnectFailure(err: unknown): boolean {
  if (paths.isConnectFailure(err)) {
    return true;
  }
  const { syscall } = (err ?? {}) as { syscall?: string };
  return syscall === undefined ? CONNECT_CODES.has(getCode(err)) : syscall === 'connect';
}

function getCode(err: unknown): string {
  return String((err as { code?: unknown } | undefined)?.code ?? '');
}
