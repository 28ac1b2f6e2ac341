/** The rate limit that an answer names; `unreadable` if it names one that makes no sense. */
export type NamedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly callsPerS: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** The rest for which an answer asks; `unreadable` if the value makes no sense. */
export type RequestedRest =
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly restMs: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** What an upstream states in an answer about itself, apart from the answer to the call. */
export interface UpstreamNotice {
  /** Calls per second that it takes from all hosts together, for as long as its answers name the limit. */
  readonly limit: NamedLimit;
  /** Number of calls in a second after which it ends if it turns away more; absent if it bears any number. */
  readonly maxRejectionsPerS?: NamedLimit | undefined;
  /** Time for which it wants no calls from this host. */
  readonly rest: RequestedRest;
  /** Whether it leaves, and takes no new calls from any host. */
  readonly isLeaving: boolean;
}

/** The notice of an upstream that states nothing. */
export const EMPTY_NOTICE: UpstreamNotice = {
  limit: { kind: 'none' },
  rest: { kind: 'none' },
  isLeaving: false,
};

/** Statuses with which an upstream turns a call away and may ask for rest. */
const REST_STATUSES = new Set([429, 503]);

/** Format of a rate limit or of a rest in seconds: a decimal number without a sign. */
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

/** Decodes the `Retry-After` of an answer: seconds or a date; of several values, the longest time applies. */
export function parseRequestedRest(
  status: number,
  value: string | readonly string[] | undefined,
  nowMs: number,
): RequestedRest {
  if (value === undefined || !REST_STATUSES.has(status)) {
    return { kind: 'none' };
  }
  const text = value.toString();
  const date = Date.parse(text);
  if (!Number.isNaN(date) && /[a-z]/i.test(text)) {
    return { kind: 'named', restMs: Math.max(0, date - nowMs) };
  }
  const parts = text.split(',').map((part) => part.trim());
  if (!parts.every((part) => DECIMAL_PATTERN.test(part))) {
    return { kind: 'unreadable', text: text.slice(0, MAX_LOGGED_LENGTH) };
  }
  return { kind: 'named', restMs: Math.max(...parts.map(Number)) * 1_000 };
}
