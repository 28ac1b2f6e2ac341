import * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

/**
 * Deltas kept for hosts that are a few revisions behind, by count and by the length of their JSON text; others get the
 * full configuration.
 */
const MAX_DELTAS = { count: 256, length: 1024 * 1024 };

/** The configuration that is in force on this host. Its revision never decreases. */
export class ConfigurationStore {
  public readonly changed = new schemas.ChangeSignal();
  private configuration = intents.createEmptyConfiguration();
  private readonly deltas = new intents.SizedHistory<schemas.Delta>(MAX_DELTAS, (delta) => delta);
  private confirmedAt = -Infinity;
  private ready = false;

  public constructor(private readonly clock: schemas.Clock) {}

  /** The configuration in force. */
  public get(): schemas.Configuration {
    return this.configuration;
  }

  /** Whether this host has loaded a configuration that is current enough to serve calls. */
  public isReady(): boolean {
    return this.ready;
  }

  /** Marks this host as ready to serve. */
  public markReady(): void {
    this.ready = true;
    this.changed.notify();
  }

  /** Applies a full configuration if it has a higher revision; returns whether it did. */
  public offer(configuration: schemas.Configuration): boolean {
    // A peer that was partitioned, or a delayed message, may carry an earlier configuration. Applying it would undo a
    // confirmed change.
    if (configuration.revision <= this.configuration.revision) {
      return false;
    }
    this.configuration = configuration;
    this.deltas.restore([]);
    this.changed.notify();
    return true;
  }

  /** Applies deltas on top of the configuration in force. Skips older ones; returns false if there is a gap. */
  public offerDeltas(deltas: readonly schemas.Delta[]): boolean {
    const newer = deltas.filter((delta) => delta.from >= this.configuration.revision);
    if (newer[0] !== undefined && newer[0].from !== this.configuration.revision) {
      return false;
    }
    newer.forEach((delta) => {
      this.configuration = intents.applyDelta(this.configuration, delta);
      this.deltas.set(String(delta.to), delta);
    });
    if (newer.length > 0) {
      this.changed.notify();
    }
    return true;
  }

  /** The update for a host at `revision`: deltas if they are still kept, else the full configuration. */
  public getUpdates(revision: number): Pick<schemas.SyncRes, 'deltas' | 'configuration'> {
    if (revision >= this.configuration.revision) {
      return {};
    }
    const missing = this.deltas.list().filter((delta) => delta.from >= revision);
    return missing[0]?.from === revision
      ? { deltas: missing }
      : { configuration: this.configuration };
  }

  /** Records that a leader confirmed `ageMs` milliseconds ago that this revision is the latest. */
  public recordLeaderConfirmation(ageMs: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, this.clock.now() - ageMs);
  }

  /** Time since a leader last confirmed that the configuration in force is the latest, in milliseconds. */
  public getAgeMs(): number {
    return Math.min(this.clock.now() - this.confirmedAt, Number.MAX_SAFE_INTEGER);
  }
}
