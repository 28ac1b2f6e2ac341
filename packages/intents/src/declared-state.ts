import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** A whole document that an operator declared, as it was written, under the operator's own version. */
export const declaredDocument = z.object({ version: z.int().min(0), text: z.string() });

/** A whole document that an operator declared. */
export type DeclaredDocument = z.infer<typeof declaredDocument>;

/** What became of a declared document: the version that is now the highest. */
export interface DeclareResult {
  readonly version: number;
}

/**
 * The newest document of the operators. They choose the versions, several at a time and in any order, so the
 * highest one wins: a lower or equal one is an older order that arrives again, and changes nothing.
 */
export class DeclaredState {
  public readonly changed = new schemas.ChangeSignal();
  private document: DeclaredDocument | undefined;

  /** Applies one document; the same on every voter. */
  public apply(document: DeclaredDocument): DeclareResult {
    if (this.document === undefined || document.version > this.document.version) {
      this.document = document;
      this.changed.notify();
    }
    return { version: this.document.version };
  }

  /** The document in force, or nothing before the first. */
  public get(): DeclaredDocument | undefined {
    return this.document;
  }

  /** A copy for a snapshot. */
  public getSnapshot(): DeclaredDocument | null {
    return this.document ?? null;
  }

  /** Takes a snapshot; what was applied here was committed, so a log that is read anew takes nothing back. */
  public restore(snapshot: DeclaredDocument | null): void {
    if (snapshot !== null) {
      this.apply(snapshot);
    }
  }
}
