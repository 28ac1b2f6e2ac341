import * as fs from 'node:fs';

import * as schemas from '@bramleyridge/schemas';

/** The pre-shared keys of the link between daemons; several may be valid while one is rotated out. */
export class Keyring {
  private file: schemas.KeyFile;

  public constructor(private readonly path: string) {
    this.file = readKeyFile(path);
  }

  /** Reads the file again; new connections use what it says, old ones go on. */
  public reload(): void {
    this.file = readKeyFile(this.path);
  }

  /** The identity and key for a new connection. */
  public getActive(): { identity: string; psk: Buffer } {
    const identity = this.file.active;
    return { identity, psk: Buffer.from(this.file.keys[identity] ?? '', 'base64') };
  }

  /** The key of an identity, or nothing when it was rotated out. */
  public findKey(identity: string): Buffer | undefined {
    const key = this.file.keys[identity];
    return key === undefined ? undefined : Buffer.from(key, 'base64');
  }

  /** Every valid key, the active one first. */
  public listKeys(): Buffer[] {
    const { active } = this.file;
    const names = [active, ...Object.keys(this.file.keys).filter((id) => id !== active)];
    return names.map((id) => Buffer.from(this.file.keys[id] ?? '', 'base64'));
  }
}

function readKeyFile(path: string): schemas.KeyFile {
  const input: unknown = JSON.parse(fs.readFileSync(path, 'utf8'));
  return schemas.parse(schemas.keyFile, input, 'read-keys');
}
