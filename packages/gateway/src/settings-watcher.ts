import * as schemas from '@bramleyridge/schemas';

import type * as hostSettings from './host-settings.js';

/** How often settings are read again without a signal, in milliseconds; they may change silently. */
const REREAD_MS = 2_000;

/** The settings in force, read again on a signal and from time to time. */
export class SettingsWatcher {
  private current: hostSettings.HostSettings;
  private isStopped = false;

  public constructor(
    private readonly source: hostSettings.SettingsSource,
    private readonly clock: schemas.Clock,
    private readonly log: schemas.Log,
  ) {
    this.current = source.read();
  }

  /** The settings in force. */
  public get(): hostSettings.HostSettings {
    return this.current;
  }

  /** Reads again until stopped. */
  public async run(): Promise<void> {
    while (!this.isStopped) {
      await this.clock.sleep(REREAD_MS);
      this.reread('time');
    }
  }

  /** Reads again now; settings that can't be read leave the former ones in force. */
  public reread(reason: 'time' | 'signal'): void {
    try {
      const next = this.source.read();
      if (JSON.stringify(next) !== JSON.stringify(this.current)) {
        this.current = next;
        this.log.info({ event: 'settings-changed', reason, seeds: next.seeds });
      }
    } catch (err) {
      this.log.warn({ event: 'settings-unreadable', reason, err: schemas.toError(err).message });
    }
  }

  /** Ends the task. */
  public stop(): void {
    this.isStopped = true;
  }
}
