import * as z from 'zod';

/** Halves of surrogate pairs, for which there is no UTF-8. */
const LONE_SURROGATE = /\p{Surrogate}/u;

/** Blanks at an end of a header's value, which parsers remove. */
const OUTER_BLANK = /^[\t ]|[\t ]$/;

/** Characters that HTTP does not allow in a header's value, as bytes: control characters other than the tab. */
const FORBIDDEN_BYTE = /[^\t\x20-\x7e\x80-\xff]/;

/** Characters that stand for bytes above those of ASCII. */
const HIGH_BYTE = /[\x80-\xff]/;

const utf8 = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true });

/** Returns whether a header can carry a text unchanged, in UTF-8. */
export function isHeaderText(text: string): boolean {
  const isWhole = !LONE_SURROGATE.test(text) && !OUTER_BLANK.test(text);
  return isWhole && !FORBIDDEN_BYTE.test(encodeHeaderText(text));
}

/** Encodes a text as the value of a header: its UTF-8, with one character for each byte, as Node.js writes them. */
export function encodeHeaderText(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

/** Decodes the value of a header, which Node.js reads with one character for each byte; one that is no UTF-8 stays. */
export function decodeHeaderText(value: string): string {
  if (!HIGH_BYTE.test(value)) {
    return value;
  }
  try {
    return utf8.decode(Buffer.from(value, 'latin1'));
  } catch {
    return value;
  }
}

/** A text that a header can carry unchanged. */
export const headerText = z
  .string()
  .refine(isHeaderText, 'must have no control characters, and no blanks at its ends');

/** A path that can be the target of a request: visible characters of ASCII after a slash. */
const REQUEST_PATH = /^\/[\x21-\x7e]*$/;

/** Returns whether a path can be the target of a request. */
export function isRequestPath(path: string): boolean {
  return REQUEST_PATH.test(path);
}

/** A path that can be the target of a request. */
export const requestPath = z
  .string()
  .refine(isRequestPath, 'must begin with a slash and have only visible characters of ASCII');
