import * as net from 'node:net';

import * as z from 'zod';

const MAX_PORT = 65_535;
const PATTERN = /^(?:(?<ipv4>[\d.]+)|\[(?<ipv6>[\d.:a-f]+)\]):(?<port>\d{1,5})$/i;

/** The parts of an address. */
export interface ParsedAddress {
  /** The IP address, without brackets, or a name. */
  readonly host: string;
  readonly port: number;
}

/** Parses an IP address and a port, joined by a colon; an IPv6 address stands in brackets. */
export function parseAddress(text: string): ParsedAddress | undefined {
  const { ipv4 = '', ipv6 = '', port = '' } = PATTERN.exec(text)?.groups ?? {};
  const host = ipv4 === '' ? ipv6 : ipv4;
  return net.isIP(host) === 0 || Number(port) > MAX_PORT ? undefined : { host, port: Number(port) };
}

/** Joins a host and a port; an IPv6 address is put in brackets. */
export function formatAddress({ host, port }: ParsedAddress): string {
  return `${net.isIPv6(host) ? `[${host}]` : host}:${port}`;
}

/** Splits an address at its last colon; its host may be a name, and neither part is checked. */
export function splitAddress(text: string): ParsedAddress {
  const at = text.lastIndexOf(':');
  const host = text.slice(0, at).replace(/^\[(.*)\]$/, '$1');
  return { host, port: Number(text.slice(at + 1)) };
}

/** An IP address. */
export const ipAddress = z.string().refine((text) => net.isIP(text) !== 0, 'must be an IP address');

/** Returns the one form of an address by which calls and connections can be compared; `undefined` if it is none. */
function findCanonicalForm(text: string): string | undefined {
  const parsed = parseAddress(text);
  if (parsed === undefined) {
    return undefined;
  }
  const { hostname } = new URL(`http://${formatAddress(parsed)}`);
  return `${hostname}:${parsed.port}`;
}

/** An address to listen at; port 0 lets the system choose. */
export const listenAddress = z.string().transform((text, context) => {
  const canonicalForm = findCanonicalForm(text);
  if (canonicalForm === undefined) {
    context.addIssue({ code: 'custom', message: 'must be an IP address and a port' });
    return z.NEVER;
  }
  return canonicalForm;
});

/** An address to connect to: an IP address and a port from 1 to 65535. */
export const address = listenAddress.refine(
  (text) => parseAddress(text)?.port !== 0,
  'must have a port from 1 to 65535',
);
