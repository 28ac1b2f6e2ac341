/** What the program's exit tells a pipeline. */
export const EXIT = {
  ok: 0,
  /** The call failed; nothing is known to have changed. */
  failed: 1,
  /** The arguments or the declaration are not valid. */
  invalid: 2,
  /** `diff --exit-code` found differences. */
  different: 3,
  /** A confirmation was refused: something else was confirmed first. */
  conflict: 4,
  /** `status --wait` ended before every host had the revision in force. */
  waiting: 5,
} as const;

/** Ends the program with a code and, where given, a message for a person. */
export class ExitError extends Error {
  public override readonly name = 'ExitError';

  public constructor(
    public readonly code: number,
    message: string,
  ) {
    super(message);
  }
}
