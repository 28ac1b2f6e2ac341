import * as consensus from '@bramleyridge/consensus';
import type * as fakes from '@bramleyridge/fakes';
import type * as schemas from '@bramleyridge/schemas';

/** The condition of a disk. */
export interface DiskCondition {
  /** Time that each write takes, in milliseconds. */
  delayMs: number;
  /** Time until which the disk stands still, in milliseconds. */
  heldUntil: number;
  /** Whether there is no space. */
  isFull: boolean;
}

/** A disk on virtual time that may be slow, stand still or have no space. */
export class SlowDisk implements consensus.FileStorage {
  public constructor(
    private readonly files: fakes.MemoryFiles,
    private readonly clock: schemas.Clock,
    private readonly condition: DiskCondition,
  ) {}

  public read(name: string): Promise<Buffer | undefined> {
    return this.files.read(name);
  }

  public async append(name: string, bytes: Buffer): Promise<void> {
    await this.pass();
    if (this.condition.isFull) {
      throw createNoSpace();
    }
    await this.files.append(name, bytes);
  }

  public async sync(name: string): Promise<void> {
    await this.pass();
    await this.files.sync(name);
  }

  public truncate(name: string, length: number): Promise<void> {
    return this.files.truncate(name, length);
  }

  public async replace(name: string, bytes: Buffer): Promise<void> {
    await this.pass();
    if (this.condition.isFull) {
      throw new consensus.UnchangedFileError(name, createNoSpace());
    }
    await this.files.replace(name, bytes);
  }

  private async pass(): Promise<void> {
    const { delayMs, heldUntil } = this.condition;
    const waitMs = Math.max(delayMs, heldUntil - this.clock.now());
    if (waitMs > 0) {
      await this.clock.sleep(waitMs);
    }
  }
}

function createNoSpace(): Error {
  return new Error('ENOSPC: no space left on device');
}
