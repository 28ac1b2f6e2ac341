import * as schemas from '@bramleyridge/schemas';

const KINDS = ['team', 'intent', 'service'] as const;

function getItems(
  declaration: schemas.Declaration,
  kind: schemas.DeclarationFile['kind'],
): readonly schemas.DeclarationFile[] {
  const lists = {
    team: declaration.teams,
    intent: declaration.intents,
    service: declaration.services,
  };
  return lists[kind];
}

/** Lists the differences between two declarations, in a fixed order. */
export function diffDeclarations(
  before: schemas.Declaration,
  after: schemas.Declaration,
): schemas.Change[] {
  return KINDS.flatMap((kind) => {
    const old = new Map(getItems(before, kind).map((item) => [item.name, item]));
    const now = new Map(getItems(after, kind).map((item) => [item.name, item]));
    const names = [...new Set([...old.keys(), ...now.keys()])].sort();
    return names
      .map((name) => ({ kind, name, before: old.get(name), after: now.get(name) }))
      .filter((change) => JSON.stringify(change.before) !== JSON.stringify(change.after));
  });
}

/** Returns a declaration with changes applied. */
export function applyChanges(
  declaration: schemas.Declaration,
  changes: readonly schemas.Change[],
): schemas.Declaration {
  const key = (item: { kind: string; name: string }) => `${item.kind}/${item.name}`;
  const items = new Map(
    KINDS.flatMap((kind) => getItems(declaration, kind)).map((i) => [key(i), i]),
  );
  changes.forEach((change) => {
    if (change.after === undefined) {
      items.delete(key(change));
    } else {
      items.set(key(change), change.after);
    }
  });
  return schemas.createDeclaration([...items.values()]);
}

/** Formats one change as text. */
export function describeChange(change: schemas.Change): string {
  const subject = `${change.kind} ${change.name}`;
  if (change.before === undefined) {
    return `add ${subject}`;
  }
  if (change.after === undefined) {
    return `remove ${subject}`;
  }
  const before = change.before as Record<string, unknown>;
  const after = change.after as Record<string, unknown>;
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((field) => JSON.stringify(before[field]) !== JSON.stringify(after[field]))
    .map((field) => `${field} ${JSON.stringify(before[field])} -> ${JSON.stringify(after[field])}`);
  return `change ${subject}: ${fields.join(', ')}`;
}
