import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** A full document that an operator declared: its original text, and the version that the operator assigned. */
export const declaredDocument = z.object({ version: z.int().min(0), text: z.string() });

/** A full document that an operator declared. */
export type DeclaredDocument = z.infer<typeof declaredDocument>;

/** The result of a declaration: the highest version so far. */
export interface DeclareResult {
  readonly version: number;
}

/**
 * The declared document with the highest version. Operators assign the versions and may declare concurrently and out of
 * order, so the highest version wins. A document with a lower or equal version is outdated or a repeat and is ignored.
 */
export class DeclaredState {
  public readonly changed = new schemas.ChangeSignal();
  private document: DeclaredDocument | undefined;

  /** Applies one document; deterministic on every voter. */
  public apply(document: DeclaredDocument): DeclareResult {
    if (this.document === undefined || document.version > this.document.version) {
      this.document = document;
      this.changed.notify();
    }
    return { version: this.document.version };
  }

  /** The document in force, or `undefined` before the first. */
  public get(): DeclaredDocument | undefined {
    return this.document;
  }

  /** Returns the state for a snapshot. */
  public getSnapshot(): DeclaredDocument | null {
    return this.document ?? null;
  }

  /** Restores a snapshot. Keeps a document with a higher version, which was committed when it was applied here. */
  public restore(snapshot: DeclaredDocument | null): void {
    if (snapshot !== null) {
      this.apply(snapshot);
    }
  }
}
