import * as fs from 'node:fs/promises';
import * as path from 'node:path';

/** File operations for durable state; tests inject an implementation that simulates crashes between them. */
export interface FileStorage {
  read(name: string): Promise<Buffer | undefined>;
  /** Appends without syncing. */
  append(name: string, bytes: Buffer): Promise<void>;
  sync(name: string): Promise<void>;
  truncate(name: string, length: number): Promise<void>;
  /** Replaces a file atomically and syncs it: after a crash it has either the old or the new contents. */
  replace(name: string, bytes: Buffer): Promise<void>;
  /** Closes open files; absent if the implementation keeps none open. */
  close?(): Promise<void>;
}

/** Files in one data directory. */
export class DirectoryStorage implements FileStorage {
  private readonly handles = new Map<string, fs.FileHandle>();

  public constructor(private readonly directory: string) {}

  /** Creates the data directory. */
  public async open(): Promise<void> {
    await fs.mkdir(this.directory, { recursive: true });
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
    const temporaryPath = `${target}.new`;
    const handle = await fs.open(temporaryPath, 'w');
    await handle.writeFile(bytes);
    await handle.sync();
    await handle.close();
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
