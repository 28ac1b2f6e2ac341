import * as util from 'node:util';

import type * as z from 'zod';

import * as stepError from './step-error.js';

/** Lists every fault of a failed parse, each with its JSON path, the message of the schema and the value found. */
export function listFaults(err: z.ZodError, input: unknown): string[] {
  return err.issues.map((issue) => {
    const path = issue.path.map(String).join('.') || '(root)';
    const value = issue.path.reduce<unknown>(
      (parent, key) =>
        typeof parent === 'object' && parent !== null
          ? (parent as Record<PropertyKey, unknown>)[key]
          : undefined,
      input,
    );
    const shown = describeValue(value).slice(0, 80);
    return `${path}: ${issue.message} (found ${shown})`;
  });
}

function describeValue(value: unknown): string {
  try {
    return JSON.stringify(value) ?? 'nothing';
  } catch {
    // JSON can't express a large integer, or a value that is nested more deeply than the stack allows.
    return util.inspect(value, { depth: 1 });
  }
}

/** Parses a value with a schema; throws one error that lists every fault. */
export function parse<T>(schema: z.ZodType<T>, input: unknown, step: string): T {
  const result = schema.safeParse(input);
  if (result.success) {
    return result.data;
  }
  const faults = listFaults(result.error, input).join('; ');
  throw new stepError.StepError({ id: 'badConfig', step, args: [faults] });
}
