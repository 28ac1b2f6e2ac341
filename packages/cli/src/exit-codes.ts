/** Exit codes of the program. */
export const EXIT = {
  ok: 0,
  /** The request failed; whether anything changed is not known. */
  failed: 1,
  /** The arguments or the declaration are not valid. */
  invalid: 2,
  /** `diff --exit-code` found differences. */
  different: 3,
  /** The confirmation was refused because another plan was confirmed first. */
  conflict: 4,
  /** `status --wait` ended before every host had the revision in force. */
  waiting: 5,
} as const;

/** Ends the program with an exit code and a message. */
export class ExitError extends Error {
  public override readonly name = 'ExitError';

  public constructor(
    public readonly code: number,
    message: string,
  ) {
    super(message);
  }
}
