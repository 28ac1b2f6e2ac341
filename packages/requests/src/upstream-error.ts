import * as schemas from '@bramleyridge/schemas';

/** What is known of a call that failed: refused and unreachable ones did not run. */
export type FailureKind = 'unreachable' | 'refused' | 'lost' | 'gone';

/** The errors that arise before a byte is handed to the upstream. */
const CONNECT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_DESTROYED',
  'UND_ERR_CLOSED',
]);

/** What is said of each kind. */
const MESSAGES = {
  unreachable: 'upstreamUnreachable',
  refused: 'upstreamRefused',
  lost: 'ranUnknown',
  gone: 'upstreamUnreachable',
} as const;

/** A call to an upstream failed. */
export class UpstreamError extends schemas.StepError {
  public constructor(
    public readonly kind: FailureKind,
    step: string,
    peer: string,
    cause?: unknown,
  ) {
    super({
      id: MESSAGES[kind],
      step,
      peer,
      cause,
    });
  }

  /** Whether nobody listens at the upstream's address any more, so that it died with all it ran. */
  public isConnectionRefused(): boolean {
    return getCode(this.cause()) === 'ECONNREFUSED';
  }
}

/** Tells whether an error arose before or after a byte was handed over. */
export function createUpstreamError(err: unknown, step: string, peer: string): UpstreamError {
  if (err instanceof UpstreamError) {
    return err;
  }
  const kind = isConnectFailure(err) ? 'unreachable' : 'lost';
  return new UpstreamError(kind, step, peer, err);
}

/** A host may become unreachable while a call is under way; only a connection that was never made proves it. */
function isConnectFailure(err: unknown): boolean {
  const { syscall } = (err ?? {}) as { syscall?: string };
  return CONNECT_CODES.has(getCode(err)) && (syscall === undefined || syscall === 'connect');
}

function getCode(err: unknown): string {
  return String((err as { code?: unknown } | undefined)?.code ?? '');
}
