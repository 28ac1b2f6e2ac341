/** A command as an operator saw it: it may have been lost, or accepted without the answer arriving. */
export interface WriteOp {
  readonly kind: 'write';
  readonly id: string;
  readonly from: number;
  to: number;
  accepted: boolean;
}

/** A linearizable read of everything that is in force. */
export interface ReadOp {
  readonly kind: 'read';
  readonly from: number;
  readonly to: number;
  readonly seen: readonly string[];
}

/** One operation of a history. */
export type Op = WriteOp | ReadOp;

/**
 * Every way in which a history of an append-only list is not linearizable; none when it is. For such a list
 * it is enough that all reads are prefixes of one sequence, that no identifier stands there twice, that an
 * accepted command is seen by every read that began after its answer, that nothing is seen before it was
 * asked for, and that a read never sees less than one that had ended before it began.
 */
export function findViolations(history: readonly Op[]): string[] {
  const writes = history.filter((op) => op.kind === 'write');
  const reads = history.filter((op) => op.kind === 'read');
  const longest = reads.reduce<readonly string[]>(
    (best, read) => (read.seen.length > best.length ? read.seen : best),
    [],
  );
  const faults: string[] = [];
  if (new Set(longest).size !== longest.length) {
    faults.push('a command took effect twice');
  }
  reads.forEach((read) => {
    if (read.seen.some((id, i) => id !== longest[i])) {
      faults.push(`the read at ${read.from} saw another order than others`);
    }
    writes.forEach((write) => {
      const isSeen = read.seen.includes(write.id);
      if (write.accepted && write.to < read.from && !isSeen) {
        faults.push(`${write.id}, accepted at ${write.to}, was lost to the read at ${read.from}`);
      }
      if (write.from > read.to && isSeen) {
        faults.push(`${write.id} was seen before it was asked for`);
      }
    });
    reads
      .filter((earlier) => earlier.to < read.from && earlier.seen.length > read.seen.length)
      .forEach((earlier) =>
        faults.push(`the read at ${read.from} saw less than at ${earlier.from}`),
      );
  });
  return [...new Set(faults)];
}
