import * as fs from 'node:fs';

import * as schemas from '@bramleyridge/schemas';

/** Pre-shared keys of the connections between daemons; several are valid during a key rotation. */
export class Keyring {
  private file: schemas.KeyFile;

  public constructor(private readonly path: string) {
    this.file = readKeyFile(path);
  }

  /** Rereads the key file. New connections use its keys; established connections stay open. */
  public reload(): void {
    this.file = readKeyFile(this.path);
  }

  /** Returns the identity and key for a new connection. */
  public getActive(): { identity: string; psk: Buffer } {
    const identity = this.file.active;
    return { identity, psk: Buffer.from(this.file.keys[identity] ?? '', 'base64') };
  }

  /** Returns the key of an identity, or `undefined` if it was rotated out. */
  public findKey(identity: string): Buffer | undefined {
    // A peer may state any identity, also the name of a property that every object has.
    const isKnown = Object.hasOwn(this.file.keys, identity);
    return isKnown ? Buffer.from(this.file.keys[identity]!, 'base64') : undefined;
  }

  /** Returns every valid key, the active one first. */
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
