import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** Assumed characters per token, since nothing more precise is known about the prompt. */
const CHARS_PER_TOKEN = 4;

/** Assumed maximum of output tokens when the caller sets no limit. */
const DEFAULT_MAX_TOKENS = 32_768;

/** Token limit up to which a request counts as interactive when it names no class. */
const MAX_INTERACTIVE_TOKENS = 256;

/** Length of the prompt prefix that is hashed for cache affinity, in characters. */
const PREFIX_CHARS = 512;

/** Maximum number of shared messages of one prompt that are tracked. */
const MAX_PARTS = 16;

const message = z.looseObject({ role: z.string(), content: z.unknown() });

/** The schema of a completion request; other fields are passed through unchanged. */
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

/** The body of a completion request. */
export type CompletionBody = z.infer<typeof completionBody>;

/** The properties of a request that routing uses. */
export interface RequestEstimate {
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefix: string;
  readonly workClass: 'interactive' | 'batch';
}

/** Estimates the size and class of a request; routing receives the result and never the prompt. */
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

/**
 * Serializes the body for the engine: always streamed, with the version, priority and prefix set.
 */
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

/**
 * Returns the content hashes of the parts of a prompt that other prompts may share: all messages but the last, and the
 * first characters of a long prompt or of a single long message.
 */
export function listSharedParts({ messages, prompt }: CompletionBody): string[] {
  if (messages !== undefined && messages.length > 1) {
    return messages.slice(0, -1).slice(0, MAX_PARTS).map(schemas.getContentHash);
  }
  const text = prompt ?? JSON.stringify(messages?.[0]?.content ?? '');
  return text.length <= PREFIX_CHARS ? [] : [schemas.getContentHash(text.slice(0, PREFIX_CHARS))];
}
