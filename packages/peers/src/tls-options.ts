/**
 * TLS options for mutual authentication by pre-shared key, encrypted with forward secrecy.
 * Node.js supports pre-shared keys only up to TLS 1.2.
 */
export const pskOptions = {
  ciphers: 'ECDHE-PSK-CHACHA20-POLY1305',
  minVersion: 'TLSv1.2',
  maxVersion: 'TLSv1.2',
} as const;
