import * as z from 'zod';

/** Range of plausible slowdowns; figures outside it are ignored as if none had been stated. */
export const MIN_SLOWDOWN = 0.1;
export const MAX_SLOWDOWN = 50;

/** Maximum plausible number of calls or slots of one upstream; larger figures are ignored. */
export const MAX_STATED_CALLS = 100_000;

/** Load that an upstream states with an answer. */
export const statedLoad = z.object({
  /** Number of calls that it processes now. */
  running: z.number().min(0).max(MAX_STATED_CALLS),
  /** Number of calls that wait in its queue. */
  waiting: z.number().min(0).max(MAX_STATED_CALLS),
  /** Number of calls that it processes concurrently; `undefined` if not stated. */
  slots: z.number().min(1).max(MAX_STATED_CALLS).optional(),
  /** How many times as long as usual work takes on its machine now; `undefined` if not stated. */
  slowdown: z.number().min(MIN_SLOWDOWN).max(MAX_SLOWDOWN).optional(),
});

/** Load that an upstream states with an answer. */
export type StatedLoad = z.infer<typeof statedLoad>;
