import * as consensus from '@bramleyridge/consensus';
import type * as fakes from '@bramleyridge/fakes';

/** A disk with a limited capacity, on which the old and the new contents of a file that is replaced both take space. */
export class LimitedDisk implements consensus.FileStorage {
  /** The most bytes that were in use at once. */
  public peakBytes = 0;
  private readonly lengths = new Map<string, number>();

  public constructor(
    private readonly files: fakes.MemoryFiles,
    public capacityBytes: number,
  ) {}

  public read(name: string): Promise<Buffer | undefined> {
    return this.files.read(name);
  }

  public async append(name: string, bytes: Buffer): Promise<void> {
    this.take(bytes.length);
    await this.files.append(name, bytes);
    this.lengths.set(name, this.files.getLength(name));
  }

  public sync(name: string): Promise<void> {
    return this.files.sync(name);
  }

  public truncate(name: string, length: number): Promise<void> {
    return this.files.truncate(name, length);
  }

  public async replace(name: string, bytes: Buffer): Promise<void> {
    try {
      this.take(bytes.length);
    } catch (err) {
      throw new consensus.UnchangedFileError(name, err);
    }
    await this.files.replace(name, bytes);
    this.lengths.set(name, bytes.length);
  }

  private take(bytes: number): void {
    const used = [...this.lengths.values()].reduce((sum, length) => sum + length, bytes);
    if (used > this.capacityBytes) {
      throw new Error('ENOSPC: no space left on device');
    }
    this.peakBytes = Math.max(this.peakBytes, used);
  }
}
