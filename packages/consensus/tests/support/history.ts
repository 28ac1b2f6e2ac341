/** A command as observed by an operator. If it is not accepted, it may be lost, or accepted with its response lost. */
export interface WriteOp {
  readonly kind: 'write';
  readonly id: string;
  readonly from: number;
  to: number;
  accepted: boolean;
}

/** A linearizable read of the whole state. */
export interface ReadOp {
  readonly kind: 'read';
  readonly from: number;
  readonly to: number;
  readonly seen: readonly string[];
}

/** One operation of a history. */
export type Op = WriteOp | ReadOp;

/**
 * Lists the linearizability violations of a history of an append-only list. Such a history is linearizable if all reads
 * are prefixes of one sequence, no identifier occurs twice in it, every read that began after the response to an
 * accepted command contains the command, no read contains a command before it was requested, and no read contains less
 * than another one that had ended before it began.
 */
export function findViolations(history: readonly Op[]): string[] {
  const writes = history.filter((op) => op.kind === 'write');
  const reads = history.filter((op) => op.kind === 'read');
  const longest = reads.reduce<readonly string[]>(
    (best, read) => (read.seen.length > best.length ? read.seen : best),
    [],
  );
  const violations: string[] = [];
  if (new Set(longest).size !== longest.length) {
    violations.push('a command was applied twice');
  }
  reads.forEach((read) => {
    if (read.seen.some((id, i) => id !== longest[i])) {
      violations.push(`the read at ${read.from} saw a different order than other reads`);
    }
    const seen = new Set(read.seen);
    writes.forEach((write) => {
      const isSeen = seen.has(write.id);
      if (write.accepted && write.to < read.from && !isSeen) {
        violations.push(
          `${write.id}, accepted at ${write.to}, is missing from the read at ${read.from}`,
        );
      }
      if (write.from > read.to && isSeen) {
        violations.push(`${write.id} was seen before it was requested`);
      }
    });
    reads
      .filter((earlier) => earlier.to < read.from && earlier.seen.length > read.seen.length)
      .forEach((earlier) =>
        violations.push(`the read at ${read.from} saw less than the read at ${earlier.from}`),
      );
  });
  return [...new Set(violations)];
}
