import type * as stream from 'node:stream';

import type * as schemas from '@bramleyridge/schemas';

import type * as upstreamDialers from './upstream-dialer.js';

/** How an attempt to connect to an upstream ended. */
export type ConnectResult = 'connected' | 'refused' | 'timed-out' | 'failed';

/** Called with the result of an attempt to connect and its duration, in milliseconds. */
export type RecordConnect = (result: ConnectResult, tookMs: number) => void;

/** Error codes of attempts that got no answer. */
const TIMEOUT_CODES = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ETIMEDOUT']);

/** Reports how the attempts of a dialer end. */
export class MeteredDialer implements upstreamDialers.UpstreamDialer {
  public constructor(
    private readonly dialer: upstreamDialers.UpstreamDialer,
    private readonly clock: schemas.Clock,
    private readonly record: RecordConnect,
  ) {}

  public async dial(address: string, timeoutMs: number): Promise<stream.Duplex> {
    const startedAt = this.clock.now();
    try {
      const socket = await this.dialer.dial(address, timeoutMs);
      this.record('connected', this.clock.now() - startedAt);
      return socket;
    } catch (err) {
      this.record(getResult(err), this.clock.now() - startedAt);
      throw err;
    }
  }
}

function getResult(err: unknown): ConnectResult {
  const code = String((err as { code?: unknown } | undefined)?.code ?? '');
  if (code === 'ECONNREFUSED') {
    return 'refused';
  }
  return TIMEOUT_CODES.has(code) ? 'timed-out' : 'failed';
}
