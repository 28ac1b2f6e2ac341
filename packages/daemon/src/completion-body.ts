import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** Characters that one token stands for, when nothing better is known. */
const CHARS_PER_TOKEN = 4;

/** The most output tokens assumed when the caller sets no limit. */
const DEFAULT_MAX_TOKENS = 32_768;

/** Requests that ask for at most so many tokens count as interactive unless they say otherwise. */
const MAX_INTERACTIVE_TOKENS = 256;

/** How much of a prompt is taken for its prefix, in characters. */
const PREFIX_CHARS = 512;

const message = z.looseObject({ role: z.string(), content: z.unknown() });

/** The body of a completion; what is not named here is passed on as it is. */
export const completionBody = z
  .looseObject({
    model: z.string().min(1).max(128),
    prompt: z.string().optional(),
    messages: z.array(message).min(1).optional(),
    stream: z.boolean().default(false),
    max_tokens: z.int().min(1).max(1_000_000).nullish(),
    max_completion_tokens: z.int().min(1).max(1_000_000).nullish(),
  })
  .refine((body) => body.prompt !== undefined || body.messages !== undefined, {
    path: ['messages'],
    message: 'a prompt or messages are needed',
  });

/** The body of a completion. */
export type CompletionBody = z.infer<typeof completionBody>;

/** What routing needs to know of a body. */
export interface RequestEstimate {
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefix: string;
  readonly workClass: 'interactive' | 'batch';
}

/** Measures a body; the prompt itself goes no further than this. */
export function estimateRequest(
  body: CompletionBody,
  wantedClass: string | undefined,
): RequestEstimate {
  const prompt = body.prompt ?? JSON.stringify(body.messages);
  const limit = body.max_completion_tokens ?? body.max_tokens;
  const isInteractive =
    wantedClass === undefined
      ? (limit ?? Infinity) <= MAX_INTERACTIVE_TOKENS
      : wantedClass === 'interactive';
  const prefix = prompt.length < PREFIX_CHARS ? '' : prompt.slice(0, PREFIX_CHARS);
  return {
    promptTokens: Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN)),
    maxTokens: limit ?? DEFAULT_MAX_TOKENS,
    prefix: prefix === '' ? '' : schemas.getContentHash(prefix),
    workClass: isInteractive ? 'interactive' : 'batch',
  };
}

/** The body as the engine gets it: always streamed, with the version, the priority and the prefix set. */
export function createEngineBody(
  body: CompletionBody,
  version: string,
  { prefix, workClass }: RequestEstimate,
): string {
  return JSON.stringify({
    ...body,
    model: `${body.model}:${version}`,
    stream: true,
    priority: workClass === 'interactive' ? 0 : 1,
    prefix_id: prefix,
  });
}
