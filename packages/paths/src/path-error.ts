/**
 * Aborts calls on connections of this host that are found to be blocked. It shows nothing about the upstream, and the
 * call may have reached it.
 */
export class PathBlockedError extends Error {
  public override readonly name = 'PathBlockedError';

  public constructor(public readonly address: string) {
    super(`this host has lost its path to ${address}`);
  }
}
