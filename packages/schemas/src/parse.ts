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
    return `${path}: ${issue.message} (found ${showValue(value)})`;
  });
}

function showValue(value: unknown): string {
  try {
    return JSON.stringify(value)?.slice(0, 80) ?? 'nothing';
  } catch {
    // The value is nested more deeply than the stack allows.
    return `a deeply nested ${typeof value}`;
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
