import type * as schemas from '@bramleyridge/schemas';

import type * as ports from './ports.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** A copy of a run's KV cache, kept continuously or made for a migration, and the engine that holds it. */
export interface KvCacheBackup {
  readonly at: upstreamDirectories.KnownUpstream;
  readonly reference: ports.KvCacheReference;
}

/** Dependencies of the backup of a run. */
export interface RunBackupOptions {
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly clock: schemas.Clock;
  /** Time for which engines keep a copy after its last part, in milliseconds; `undefined` if it is not stated. */
  readonly copyTtlMs: number | undefined;
}

/**
 * The backup from which a run can go on at another engine. A copy that was only asked for does not count: an engine
 * without it would run the call from its start, and one in trouble does not check whether it has it.
 */
export class RunBackup {
  /** When something received last showed that the copy exists, on this host's clock in milliseconds. */
  private confirmedAt: number | undefined;
  /** Since when a process that ends takes the copy with it, on this host's clock in milliseconds. */
  private askedAt: number;

  public constructor(
    private readonly options: RunBackupOptions,
    private current: KvCacheBackup | undefined,
  ) {
    this.askedAt = options.clock.now();
  }

  /** Records that events of the run have arrived: it has a KV cache, of which an engine can keep a copy. */
  public recordEvents(): void {
    if (this.current?.reference.kind === 'kept') {
      this.confirmedAt = this.options.clock.now();
    }
  }

  /** Replaces the copy by one whose engine has answered that it is made, and was asked for it at `askedAt`. */
  public replace(made: KvCacheBackup, askedAt: number): void {
    this.current = made;
    this.askedAt = askedAt;
    this.confirmedAt = askedAt;
  }

  /** Returns the copy, whether or not it is known to exist. */
  public find(): KvCacheBackup | undefined {
    return this.current;
  }

  /** Returns the copy if it is known to exist. */
  public findConfirmed(): KvCacheBackup | undefined {
    const { askedAt, confirmedAt, current } = this;
    if (current === undefined || confirmedAt === undefined) {
      return undefined;
    }
    const { clock, copyTtlMs = Infinity, directory } = this.options;
    const isExpired = clock.now() - confirmedAt > copyTtlMs;
    return isExpired || directory.hasEndedSince(current.at, askedAt) ? undefined : current;
  }
}
