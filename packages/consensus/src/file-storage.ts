import * as fs from 'node:fs/promises';
import * as path from 'node:path';

/** The few file operations that durable state needs; tests inject their own and crash between them. */
export interface FileStorage {
  read(name: string): Promise<Buffer | undefined>;
  /** Appends without syncing. */
  append(name: string, bytes: Buffer): Promise<void>;
  sync(name: string): Promise<void>;
  truncate(name: string, length: number): Promise<void>;
  /** Writes a file whole, synced, so that after a crash it is the old or the new one. */
  replace(name: string, bytes: Buffer): Promise<void>;
  /** Lets go of open files; there may be none. */
  close?(): Promise<void>;
}

/** Files below one data folder. */
export class DirectoryStorage implements FileStorage {
  private readonly handles = new Map<string, fs.FileHandle>();

  public constructor(private readonly folder: string) {}

  /** Makes the data folder. */
  public async open(): Promise<void> {
    await fs.mkdir(this.folder, { recursive: true });
  }

  public async read(name: string): Promise<Buffer | undefined> {
    try {
      return await fs.readFile(path.join(this.folder, name));
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
    const target = path.join(this.folder, name);
    const draft = `${target}.new`;
    const handle = await fs.open(draft, 'w');
    await handle.writeFile(bytes);
    await handle.sync();
    await handle.close();
    await this.handles.get(name)?.close();
    this.handles.delete(name);
    await fs.rename(draft, target);
    await this.syncFolder();
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
    const handle = await fs.open(path.join(this.folder, name), 'a');
    this.handles.set(name, handle);
    // A new file is lost in a power cut until its folder's entry is synced too.
    await this.syncFolder();
    return handle;
  }

  private async syncFolder(): Promise<void> {
    const handle = await fs.open(this.folder, 'r');
    await handle.sync();
    await handle.close();
  }
}
