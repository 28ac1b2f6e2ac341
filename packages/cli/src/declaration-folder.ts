import * as fs from 'node:fs';
import * as path from 'node:path';

import * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

import * as exits from './exit-codes.js';

/** Reads every JSON file below a folder as a declaration; one error lists all faults. */
export function readDeclarationFolder(folder: string): schemas.DeclarationFile[] {
  const names = fs
    .readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.json'))
    .sort();
  const faults: string[] = [];
  const files = names.flatMap((name) => {
    const found = readFile(path.join(folder, name));
    faults.push(...found.faults.map((fault) => `${name}: ${fault}`));
    return found.file === undefined ? [] : [found.file];
  });
  faults.push(...intents.checkReferences(schemas.createDeclaration(files)));
  if (faults.length > 0) {
    throw new exits.ExitError(exits.EXIT.invalid, faults.join('\n'));
  }
  return files;
}

function readFile(file: string): { file?: schemas.DeclarationFile; faults: string[] } {
  let input: unknown;
  try {
    input = JSON.parse(fs.readFileSync(file, 'utf8'));
  } catch (err) {
    return { faults: [schemas.toError(err).message] };
  }
  const result = schemas.declarationFile.safeParse(input);
  return result.success
    ? { file: result.data, faults: [] }
    : { faults: schemas.listFaults(result.error, input) };
}
