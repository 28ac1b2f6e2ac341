import * as net from 'node:net';

import type * as schemas from '@bramleyridge/schemas';

import type * as upstreamClients from './upstream-client.js';

/** How long a connection may take to be accepted or refused, in milliseconds. */
const CONNECT_MS = 200;

/** For how long what was found out counts for the other calls that broke off there, in milliseconds. */
const REMEMBER_MS = 500;

/**
 * The pauses before a process that still listened is asked again, in milliseconds. One that is ending resets what it served
 * before its address is free, and a connection that was made in between waits in its queue.
 */
const AGAIN_MS = [5, 20, 120] as const;

interface Check {
  readonly at: number;
  readonly hasEnded: Promise<boolean>;
}

/**
 * Tells whether the process of an upstream has ended. A connection that closes shows nothing by itself: answers are also
 * lost to resets, cuts and bad answers of a process that lives on. Where it has ended, nobody listens at its address.
 */
export class ProcessExitDetector {
  private readonly checks = new Map<string, Check>();

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly isListening: (url: string) => Promise<boolean> = connect,
  ) {}

  /** Asks once for all calls that broke off there at one time. */
  public hasExited({ upstreamId, url }: upstreamClients.UpstreamTarget): Promise<boolean> {
    const now = this.clock.now();
    this.forgetBefore(now - REMEMBER_MS);
    const known = this.checks.get(upstreamId);
    if (known !== undefined) {
      return known.hasEnded;
    }
    const hasEnded = this.ask(url);
    this.checks.set(upstreamId, { at: now, hasEnded });
    return hasEnded;
  }

  private async ask(url: string): Promise<boolean> {
    const askedAt = this.clock.now();
    let listens = await this.isListening(url);
    const isSilent = this.clock.now() - askedAt >= CONNECT_MS;
    for (const pauseMs of isSilent ? [] : AGAIN_MS) {
      if (!listens) {
        return true;
      }
      await this.clock.sleep(pauseMs);
      listens = await this.isListening(url);
    }
    return !listens;
  }

  private forgetBefore(since: number): void {
    [...this.checks]
      .filter(([, { at }]) => at < since)
      .forEach(([upstreamId]) => this.checks.delete(upstreamId));
  }
}

/** Whether anybody listens; an address that doesn't answer at all may be behind a cut, and counts as one that does. */
function connect(url: string): Promise<boolean> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = net.connect({ host: hostname, port: Number(port), timeout: CONNECT_MS });
    const settle = (isListening: boolean) => {
      socket.destroy();
      resolve(isListening);
    };
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(true));
    socket.once('error', (err: NodeJS.ErrnoException) => settle(err.code !== 'ECONNREFUSED'));
  });
}
