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

/** A call to an upstream failed. */
export class UpstreamError extends schemas.StepError {
  public constructor(
    public readonly kind: FailureKind,
    step: string,
    peer: string,
    cause?: unknown,
  ) {
    super({
      id: kind === 'refused' ? 'upstreamRefused' : 'upstreamUnreachable',
      step,
      peer,
      cause,
    });
  }

  /** Whether nobody listens at the upstream's address any more, so that it died with all it ran. */
  public isDead(): boolean {
    return getCode(this.cause()) === 'ECONNREFUSED';
  }
}

/** Tells whether an error arose before or after a byte was handed over. */
export function createUpstreamError(err: unknown, step: string, peer: string): UpstreamError {
  if (err instanceof UpstreamError) {
    return err;
  }
  const kind = CONNECT_CODES.has(getCode(err)) ? 'unreachable' : 'lost';
  return new UpstreamError(kind, step, peer, err);
}

function getCode(err: unknown): string {
  return String((err as { code?: unknown } | undefined)?.code ?? '');
}
