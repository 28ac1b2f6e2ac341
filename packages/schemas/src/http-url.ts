import * as net from 'node:net';

import * as z from 'zod';

/** Longest name of a host, in characters. */
const MAX_NAME_LENGTH = 253;
const NAME_PATTERN = /^[\w-]+(?:\.[\w-]+)*\.?$/;

/** The URL of a host that can be connected to by HTTP: an IP address or a name, and no port or one from 1 to 65535. */
export const httpUrl = z
  .url({ protocol: /^https?$/, abort: true })
  .refine(hasUsableHost, 'must have an IP address or a name of a host')
  .refine((text) => new URL(text).port !== '0', 'must not have port 0');

function hasUsableHost(text: string): boolean {
  const { hostname } = new URL(text);
  const isAddress = net.isIP(hostname.replace(/^\[(.*)\]$/, '$1')) !== 0;
  return isAddress || (hostname.length <= MAX_NAME_LENGTH && NAME_PATTERN.test(hostname));
}
