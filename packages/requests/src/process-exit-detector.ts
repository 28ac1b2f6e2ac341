import * as paths from '@bramleyridge/paths';
import type * as schemas from '@bramleyridge/schemas';

import type * as upstreamTargets from './upstream-target.js';

/** The duration of a check from which on the upstream has not answered it, in milliseconds. */
const CONNECT_TIMEOUT_MS = 140;

/** How long a result is reused for other calls that broke off at the same upstream, in milliseconds. */
const RESULT_TTL_MS = 500;

/**
 * The pauses before each further check of a process that still listens, in milliseconds. An exiting process resets its
 * connections before it stops listening, and a connection made in between is accepted into its backlog.
 */
const RECHECK_DELAYS_MS = [5, 20, 120] as const;

/** An upstream whose process may have exited. */
export type ExitSubject = Pick<upstreamTargets.UpstreamTarget, 'address' | 'upstreamId'>;

interface ExitCheck {
  readonly startedAt: number;
  readonly hasExited: Promise<boolean>;
}

/**
 * Detects whether the process of an upstream has exited. A closed connection is no proof: responses are also lost
 * through resets, network partitions and invalid responses of a process that keeps running. After an exit its address
 * refuses connections.
 */
export class ProcessExitDetector {
  private readonly checks = new Map<string, ExitCheck>();

  public constructor(
    private readonly clock: schemas.Clock,
    /** Returns whether a process listens at an address, as far as any host can tell. */
    private readonly isListening: (address: string) => Promise<boolean> = createOwnCheck(),
  ) {}

  /** Returns whether the process has exited; one check serves all calls that broke off there at the same time. */
  public hasExited({ address, upstreamId }: ExitSubject): Promise<boolean> {
    const now = this.clock.now();
    this.evictBefore(now - RESULT_TTL_MS);
    const current = this.checks.get(upstreamId);
    if (current !== undefined) {
      return current.hasExited;
    }
    const hasExited = this.check(address);
    this.checks.set(upstreamId, { startedAt: now, hasExited });
    return hasExited;
  }

  private async check(address: string): Promise<boolean> {
    const startedAt = this.clock.now();
    let stillListens = await this.isListening(address);
    const hasTimedOut = this.clock.now() - startedAt >= CONNECT_TIMEOUT_MS;
    for (const pauseMs of hasTimedOut ? [] : RECHECK_DELAYS_MS) {
      if (!stillListens) {
        return true;
      }
      await this.clock.sleep(pauseMs);
      stillListens = await this.isListening(address);
    }
    return !stillListens;
  }

  private evictBefore(since: number): void {
    [...this.checks]
      .filter(([, { startedAt }]) => startedAt < since)
      .forEach(([upstreamId]) => this.checks.delete(upstreamId));
  }
}

function createOwnCheck(): (address: string) => Promise<boolean> {
  const links = paths.createOwnLinks({ connectMs: CONNECT_TIMEOUT_MS });
  return (address) => links.isListening(address);
}
