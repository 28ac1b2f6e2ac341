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

/** Splits an address at its last colon; its host may be a name, and neither part is checked. */
export function splitAddress(text: string): ParsedAddress {
  const at = text.lastIndexOf(':');
  const host = text.slice(0, at).replace(/^\[(.*)\]$/, '$1');
  return { host, port: Number(text.slice(at + 1)) };
}

/** An address to listen at; port 0 lets the system choose. */
export const listenAddress = z
  .string()
  .refine((text) => parseAddress(text) !== undefined, 'must be an IP address and a port');

/** An address to connect to: an IP address and a port from 1 to 65535. */
export const address = listenAddress.refine(
  (text) => parseAddress(text)?.port !== 0,
  'must have a port from 1 to 65535',
);
