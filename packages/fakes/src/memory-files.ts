/** Thrown by the call at which the crash occurs and by every later one. */
export class CrashError extends Error {
  public override readonly name = 'CrashError';
}

interface MemoryFile {
  synced: Buffer;
  written: Buffer;
}

/**
 * In-memory files that can crash at any call. Unsynced bytes are then lost, or kept up to a share that the test
 * chooses. The interface is that of the consensus package's file storage.
 */
export class MemoryFiles {
  /** Number of calls made so far, for choosing crash points. */
  public calls = 0;
  private readonly files = new Map<string, MemoryFile>();
  private crashAt = Infinity;
  private tornShare = 0;
  private isSyncing = true;

  /** Crashes at the n-th call from now; the share `tornShare` (0 to 1) of the unsynced bytes is kept. */
  public crashAfter(calls: number, tornShare: number): void {
    this.crashAt = this.calls + calls;
    this.tornShare = tornShare;
  }

  /** Makes `sync` do nothing, to prove that the checks detect lost writes. */
  public disableSync(): void {
    this.isSyncing = false;
  }

  /** Returns the files that a new process finds after a machine crash. */
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

  /** Returns the files that a new process finds when only the process was killed: unsynced bytes are still there. */
  public restart(): MemoryFiles {
    const next = new MemoryFiles();
    this.files.forEach((file, name) => next.files.set(name, { ...file }));
    return next;
  }

  /** Deletes every file. */
  public wipe(): void {
    this.files.clear();
  }

  /** Inverts one byte, as a faulty disk may. */
  public corrupt(name: string, at: number): void {
    const file = this.getFile(name);
    file.written = Buffer.from(file.written);
    file.written[at]! ^= 0xff;
    file.synced = file.written;
  }

  /** Returns the length of a file in bytes. */
  public getLength(name: string): number {
    return this.getFile(name).written.length;
  }

  public async read(name: string): Promise<Buffer | undefined> {
    this.countCall();
    return Promise.resolve(this.files.get(name)?.written);
  }

  public async append(name: string, bytes: Buffer): Promise<void> {
    const file = this.getFile(name);
    file.written = Buffer.concat([file.written, bytes]);
    this.countCall();
    return Promise.resolve();
  }

  public async sync(name: string): Promise<void> {
    this.countCall();
    if (this.isSyncing) {
      const file = this.getFile(name);
      file.synced = file.written;
    }
    return Promise.resolve();
  }

  public async truncate(name: string, length: number): Promise<void> {
    this.countCall();
    const file = this.getFile(name);
    file.written = file.written.subarray(0, length);
    file.synced = file.written;
    return Promise.resolve();
  }

  public async replace(name: string, bytes: Buffer): Promise<void> {
    this.countCall();
    this.files.set(name, { synced: bytes, written: bytes });
    return Promise.resolve();
  }

  private countCall(): void {
    this.calls += 1;
    if (this.calls >= this.crashAt) {
      throw new CrashError('crashed');
    }
  }

  private getFile(name: string): MemoryFile {
    const existing = this.files.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created = { synced: Buffer.alloc(0), written: Buffer.alloc(0) };
    this.files.set(name, created);
    return created;
  }
}
