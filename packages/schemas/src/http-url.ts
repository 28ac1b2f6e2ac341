import * as net from 'node:net';

import * as z from 'zod';

/** Longest name of a host, in characters. */
const MAX_NAME_LENGTH = 253;
const NAME_PATTERN = /^[\w-]+(?:\.[\w-]+)*\.?$/;

const HOST_FAULT = 'must be an IP address or a name of a host';

/** An IP address or a name of a host. */
export const host = z.string().refine(isHost, HOST_FAULT);

/** The URL of a host that can be connected to by HTTP: an IP address or a name, and no port or one from 1 to 65535. */
export const httpUrl = z
  .url({ protocol: /^https?$/, abort: true })
  .refine((text) => isHost(new URL(text).hostname.replace(/^\[(.*)\]$/, '$1')), HOST_FAULT)
  .refine((text) => new URL(text).port !== '0', 'must not have port 0');

function isHost(text: string): boolean {
  const isName = text.length <= MAX_NAME_LENGTH && NAME_PATTERN.test(text);
  return isName || net.isIP(text) !== 0;
}
