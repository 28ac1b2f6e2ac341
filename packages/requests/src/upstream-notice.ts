/** The rate limit that an answer names; `unreadable` if it names one that makes no sense. */
export type NamedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly callsPerS: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** What an upstream states in an answer about itself, apart from the answer to the call. */
export interface UpstreamNotice {
  /** Calls per second that it takes from all hosts together, for as long as its answers name the limit. */
  readonly limit: NamedLimit;
}

/** The notice of an upstream that states nothing. */
export const EMPTY_NOTICE: UpstreamNotice = { limit: { kind: 'none' } };

/** Format of a rate limit: a decimal number without a sign. */
const DECIMAL_PATTERN = /^(\d+(\.\d*)?|\.\d+)$/;

/** Maximum length of an unreadable value in the log, in characters. */
const MAX_LOGGED_LENGTH = 40;

/** Decodes a rate limit; of several values, which an HTTP library joins with commas, the lowest one applies. */
export function parseNamedLimit(value: string | readonly string[] | undefined): NamedLimit {
  if (value === undefined) {
    return { kind: 'none' };
  }
  const text = value.toString();
  const parts = text.split(',').map((part) => part.trim());
  if (!parts.every((part) => DECIMAL_PATTERN.test(part))) {
    return { kind: 'unreadable', text: text.slice(0, MAX_LOGGED_LENGTH) };
  }
  return { kind: 'named', callsPerS: Math.min(...parts.map(Number)) };
}
