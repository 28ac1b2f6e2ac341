/** Thrown by every call after the crash. */
export class CrashError extends Error {
  public override readonly name = 'CrashError';
}

interface MemoryFile {
  synced: Buffer;
  written: Buffer;
}

/**
 * Files in memory that can crash at any call: what was not synced is lost, or is left torn at a length
 * that the test chooses. The shape is that of the consensus package's file layer.
 */
export class MemoryFiles {
  /** How many calls have been made, for choosing crash points. */
  public calls = 0;
  private readonly files = new Map<string, MemoryFile>();
  private crashAt = Infinity;
  private tornShare = 0;
  private isSyncing = true;

  /** Crashes at the n-th call from now; `tornShare` of the unsynced bytes survive. */
  public crashAfter(calls: number, tornShare: number): void {
    this.crashAt = this.calls + calls;
    this.tornShare = tornShare;
  }

  /** Breaks the promise of `sync`, to prove that the checks notice. */
  public breakSync(): void {
    this.isSyncing = false;
  }

  /** What a new process finds after this one died. */
  public reopen(): MemoryFiles {
    const next = new MemoryFiles();
    this.files.forEach((file, name) => {
      const tail = file.written.subarray(file.synced.length);
      const torn = tail.subarray(0, Math.floor(tail.length * this.tornShare));
      const bytes = Buffer.concat([file.synced, torn]);
      next.files.set(name, { synced: bytes, written: bytes });
    });
    return next;
  }

  /** What a new process finds after this one was killed on a machine that goes on: nothing is lost yet. */
  public restart(): MemoryFiles {
    const next = new MemoryFiles();
    this.files.forEach((file, name) => next.files.set(name, { ...file }));
    return next;
  }

  /** Loses everything. */
  public wipe(): void {
    this.files.clear();
  }

  /** Flips a byte, as a bad disk does. */
  public corrupt(name: string, at: number): void {
    const file = this.getFile(name);
    file.written = Buffer.from(file.written);
    file.written[at]! ^= 0xff;
    file.synced = file.written;
  }

  /** How long a file is. */
  public getLength(name: string): number {
    return this.getFile(name).written.length;
  }

  public async read(name: string): Promise<Buffer | undefined> {
    this.count();
    return Promise.resolve(this.files.get(name)?.written);
  }

  public async append(name: string, bytes: Buffer): Promise<void> {
    const file = this.getFile(name);
    file.written = Buffer.concat([file.written, bytes]);
    this.count();
    return Promise.resolve();
  }

  public async sync(name: string): Promise<void> {
    this.count();
    if (this.isSyncing) {
      const file = this.getFile(name);
      file.synced = file.written;
    }
    return Promise.resolve();
  }

  public async truncate(name: string, length: number): Promise<void> {
    this.count();
    const file = this.getFile(name);
    file.written = file.written.subarray(0, length);
    file.synced = file.written;
    return Promise.resolve();
  }

  public async replace(name: string, bytes: Buffer): Promise<void> {
    this.count();
    this.files.set(name, { synced: bytes, written: bytes });
    return Promise.resolve();
  }

  private count(): void {
    this.calls += 1;
    if (this.calls >= this.crashAt) {
      throw new CrashError('crashed');
    }
  }

  private getFile(name: string): MemoryFile {
    const known = this.files.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = { synced: Buffer.alloc(0), written: Buffer.alloc(0) };
    this.files.set(name, created);
    return created;
  }
}
