import * as schemas from '@bramleyridge/schemas';

import type * as hostSettings from './host-settings.js';

/** Interval at which the settings are read again without a signal, in milliseconds; they may change without one. */
const REREAD_INTERVAL_MS = 2_000;

/** The settings in force, read again on a signal and periodically. */
export class SettingsWatcher {
  private current: hostSettings.HostSettings;
  private isStopped = false;
  /** Why the last read failed; `undefined` if it did not. */
  private lastFault: string | undefined;

  public constructor(
    private readonly source: hostSettings.SettingsSource,
    private readonly clock: schemas.Clock,
    private readonly log: schemas.Log,
  ) {
    this.current = source.read();
    this.logUnusableSeeds();
  }

  /** Returns the settings in force. */
  public get(): hostSettings.HostSettings {
    return this.current;
  }

  /** Reads the settings periodically until stopped. */
  public async run(): Promise<void> {
    while (!this.isStopped) {
      await this.clock.sleep(REREAD_INTERVAL_MS);
      this.reread('time');
    }
  }

  /** Reads the settings now; if they can't be read, the former ones stay in force. */
  public reread(reason: 'time' | 'signal'): void {
    try {
      const next = this.source.read();
      this.lastFault = undefined;
      if (JSON.stringify(next) !== JSON.stringify(this.current)) {
        this.current = next;
        this.log.info({ event: 'settings-changed', reason, seeds: next.seeds });
        this.logUnusableSeeds();
      }
    } catch (err) {
      const { message } = schemas.toError(err);
      // The file is read every few seconds.
      if (message !== this.lastFault) {
        this.log.warn({ event: 'settings-unreadable', reason, err: message });
      }
      this.lastFault = message;
    }
  }

  private logUnusableSeeds(): void {
    const { unusableSeeds } = this.current;
    if (unusableSeeds !== undefined) {
      this.log.warn({ event: 'seeds-unusable', seeds: unusableSeeds });
    }
  }

  /** Stops the periodic reads. */
  public stop(): void {
    this.isStopped = true;
  }
}
