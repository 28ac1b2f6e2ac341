import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as schemas from '@bramleyridge/schemas';

/** Ending of the name under which a file's replacement is written. */
const REPLACEMENT_SUFFIX = '.new';

/** File operations for durable state; tests inject an implementation that simulates crashes between them. */
export interface FileStorage {
  read(name: string): Promise<Buffer | undefined>;
  /** Appends without syncing. */
  append(name: string, bytes: Buffer): Promise<void>;
  sync(name: string): Promise<void>;
  truncate(name: string, length: number): Promise<void>;
  /**
   * Replaces a file atomically and syncs it: after a crash it has either the old or the new contents. Throws an
   * `UnchangedFileError` if it certainly still has the old ones.
   */
  replace(name: string, bytes: Buffer): Promise<void>;
  /** Closes open files; absent if the implementation keeps none open. */
  close?(): Promise<void>;
}

/** A file could not be replaced, for example because the disk is full, and has its old contents. */
export class UnchangedFileError extends schemas.StepError {
  public constructor(file: string, cause: unknown) {
    super({ id: 'fileNotReplaced', step: 'replace-file', args: [file], cause });
  }
}

/** Files in one data directory. */
export class DirectoryStorage implements FileStorage {
  private readonly handles = new Map<string, fs.FileHandle>();

  public constructor(private readonly directory: string) {}

  /** Creates the data directory, or removes what an interrupted replacement left in it. */
  public async open(): Promise<void> {
    await fs.mkdir(this.directory, { recursive: true });
    const names = await fs.readdir(this.directory);
    const unfinished = names.filter((name) => name.endsWith(REPLACEMENT_SUFFIX));
    await Promise.all(unfinished.map((name) => fs.rm(path.join(this.directory, name))));
  }

  public async read(name: string): Promise<Buffer | undefined> {
    try {
      return await fs.readFile(path.join(this.directory, name));
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === 'ENOENT') {
        return undefined;
      }
      throw err;
    }
  }

  public async append(name: string, bytes: Buffer): Promise<void> {
    const handle = await this.getHandle(name);
    await handle.appendFile(bytes);
  }

  public async sync(name: string): Promise<void> {
    const handle = await this.getHandle(name);
    await handle.datasync();
  }

  public async truncate(name: string, length: number): Promise<void> {
    const handle = await this.getHandle(name);
    await handle.truncate(length);
    await handle.sync();
  }

  public async replace(name: string, bytes: Buffer): Promise<void> {
    const target = path.join(this.directory, name);
    const temporaryPath = `${target}${REPLACEMENT_SUFFIX}`;
    try {
      await writeDurably(temporaryPath, bytes);
    } catch (err) {
      // The incomplete file would take the space that the next attempt needs.
      await fs.rm(temporaryPath, { force: true }).catch(() => {});
      throw new UnchangedFileError(name, err);
    }
    await this.handles.get(name)?.close();
    this.handles.delete(name);
    await fs.rename(temporaryPath, target);
    await this.syncDirectory();
  }

  /** Closes every open file. */
  public async close(): Promise<void> {
    await Promise.all([...this.handles.values()].map((handle) => handle.close()));
    this.handles.clear();
  }

  private async getHandle(name: string): Promise<fs.FileHandle> {
    const known = this.handles.get(name);
    if (known !== undefined) {
      return known;
    }
    const handle = await fs.open(path.join(this.directory, name), 'a');
    this.handles.set(name, handle);
    // A new file may be lost on a power failure until its directory entry is synced too.
    await this.syncDirectory();
    return handle;
  }

  private async syncDirectory(): Promise<void> {
    const handle = await fs.open(this.directory, 'r');
    await handle.sync();
    await handle.close();
  }
}

async function writeDurably(file: string, bytes: Buffer): Promise<void> {
  const handle = await fs.open(file, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
}
