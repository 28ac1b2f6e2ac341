import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as tap from 'tap';

import * as keyrings from '../src/keyring.js';

// Guards against a daemon that ends, before any key is checked, by the identity that a peer states.
void tap.default.test('an identity that no key has is unknown', async (t) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bramleyridge-keys-'));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const file = path.join(folder, 'keys.json');
  const key = Buffer.alloc(32, 7).toString('base64');
  fs.writeFileSync(file, JSON.stringify({ active: 'k1', keys: { k1: key } }));
  const keyring = new keyrings.Keyring(file);
  t.equal(keyring.findKey('k1')?.toString('base64'), key);
  for (const identity of ['', 'k2', 'constructor', '__proto__', 'toString', 'hasOwnProperty']) {
    t.equal(keyring.findKey(identity), undefined, identity);
  }
});
