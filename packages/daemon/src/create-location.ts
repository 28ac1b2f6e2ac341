/** Characters that a header can't carry, or that don't belong in a URL. */
const UNSAFE = /[^\x21-\x7e]/g;

/** Returns the URL of a path at another daemon, for a redirect; undefined without a usable base URL. */
export function createLocation(baseUrl: string | undefined, path: string): string | undefined {
  if (baseUrl === undefined || !URL.canParse(baseUrl)) {
    return undefined;
  }
  // Node reads each byte of the path as one character.
  const encode = (char: string) =>
    `%${char.charCodeAt(0).toString(16).padStart(2, '0').toUpperCase()}`;
  return `${new URL(baseUrl).origin}${path.replace(UNSAFE, encode)}`;
}
