import * as schemas from '@bramleyridge/schemas';

const connectFailures = new WeakSet<Error>();

/** Marks an error as one because of which a connection was not opened. */
export function markConnectFailure(thrown: unknown): Error {
  const err = schemas.toError(thrown);
  connectFailures.add(err);
  return err;
}

/** Returns whether a connection was not opened because of an error, so that nothing was sent over it. */
export function isConnectFailure(thrown: unknown): boolean {
  return thrown instanceof Error && connectFailures.has(thrown);
}
