import * as consensus from '@bramleyridge/consensus';
import type * as fakes from '@bramleyridge/fakes';

/** The operations of a disk that can be held back. */
export type DiskOperation = 'append' | 'sync' | 'replace';

/** A disk whose operations wait until they are released, and which may have no space. */
export class HeldDisk implements consensus.FileStorage {
  /** Size of the largest write for which there is space, in bytes. */
  public freeBytes = Infinity;
  private held: readonly DiskOperation[] = [];
  private waiting: (() => void)[] = [];

  public constructor(private readonly files: fakes.MemoryFiles) {}

  /** The number of operations that wait. */
  public get waitingCount(): number {
    return this.waiting.length;
  }

  /** Holds back these operations from now on. */
  public hold(...operations: readonly DiskOperation[]): void {
    this.held = operations;
  }

  /** Carries out the first operation that waits; resolves when all work that depends on it alone has settled. */
  public async releaseOne(): Promise<void> {
    this.waiting.shift()?.();
    await settle();
  }

  /** Carries out all operations, and holds back none from now on. */
  public async releaseAll(): Promise<void> {
    this.hold();
    this.waiting.splice(0).forEach((resume) => resume());
    await settle();
  }

  public read(name: string): Promise<Buffer | undefined> {
    return this.files.read(name);
  }

  public async append(name: string, bytes: Buffer): Promise<void> {
    await this.pass('append');
    if (bytes.length > this.freeBytes) {
      throw createNoSpace();
    }
    await this.files.append(name, bytes);
  }

  public async sync(name: string): Promise<void> {
    await this.pass('sync');
    await this.files.sync(name);
  }

  public truncate(name: string, length: number): Promise<void> {
    return this.files.truncate(name, length);
  }

  public async replace(name: string, bytes: Buffer): Promise<void> {
    await this.pass('replace');
    if (bytes.length > this.freeBytes) {
      throw new consensus.UnchangedFileError(name, createNoSpace());
    }
    await this.files.replace(name, bytes);
  }

  private async pass(operation: DiskOperation): Promise<void> {
    if (this.held.includes(operation)) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    }
  }
}

/** Waits until all work that depends on no timer and no disk has settled. */
export async function settle(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

function createNoSpace(): Error {
  return new Error('ENOSPC: no space left on device');
}
