import type * as z from 'zod';

import * as parses from './parse.js';

/** How many unreadable entries of a list are described, and how long each description may be, in characters. */
const MAX_FAULTS = 5;
const MAX_FAULT_LENGTH = 300;

/** The readable entries of a list, and what is wrong with the others. */
export interface ParsedEntries<T> {
  readonly entries: T[];
  /** The number of entries that were left out. */
  readonly unreadable: number;
  /** The faults of the first of them. */
  readonly faults: string[];
}

/** Parses the entries of a list one by one and leaves out those that don't fit the schema. */
export function parseEntries<T>(
  schema: z.ZodType<T>,
  values: readonly unknown[],
): ParsedEntries<T> {
  const entries: T[] = [];
  const faults: string[] = [];
  let unreadable = 0;
  values.forEach((value) => {
    const result = schema.safeParse(value);
    if (result.success) {
      entries.push(result.data);
      return;
    }
    unreadable += 1;
    if (faults.length < MAX_FAULTS) {
      const fault = parses.listFaults(result.error, value).join('; ');
      faults.push(fault.slice(0, MAX_FAULT_LENGTH));
    }
  });
  return { entries, unreadable, faults };
}
