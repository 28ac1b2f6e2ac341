import * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';

/** How many steps are kept for daemons that are a few revisions behind. */
const MAX_DELTAS = 256;

/** The configuration that this daemon has in force; it only ever moves to a higher revision. */
export class ConfigurationStore {
  public readonly changed = new schemas.ChangeSignal();
  private configuration = intents.createEmptyConfiguration();
  private deltas: schemas.Delta[] = [];
  private vouchedAt = -Infinity;
  private isLearned = false;

  public constructor(private readonly clock: schemas.Clock) {}

  /** The configuration in force. */
  public get(): schemas.Configuration {
    return this.configuration;
  }

  /** Whether this daemon has asked around and may serve. */
  public isReady(): boolean {
    return this.isLearned;
  }

  /** Lets this daemon serve from now on. */
  public markReady(): void {
    this.isLearned = true;
    this.changed.notify();
  }

  /** Takes a whole configuration when it is newer. */
  public offer(configuration: schemas.Configuration): boolean {
    // A peer that was cut off, or a message that was late, may offer what was in force before. Applying it
    // would undo a confirmed change, so only a higher revision is ever taken.
    if (configuration.revision <= this.configuration.revision) {
      return false;
    }
    this.configuration = configuration;
    this.deltas = [];
    this.changed.notify();
    return true;
  }

  /** Takes steps that follow on what is in force; older ones are passed over, a gap is refused. */
  public offerDeltas(deltas: readonly schemas.Delta[]): boolean {
    const news = deltas.filter((step) => step.from >= this.configuration.revision);
    if (news[0] !== undefined && news[0].from !== this.configuration.revision) {
      return false;
    }
    news.forEach((step) => {
      this.configuration = intents.applyDelta(this.configuration, step);
      this.deltas.push(step);
    });
    this.deltas = this.deltas.slice(-MAX_DELTAS);
    if (news.length > 0) {
      this.changed.notify();
    }
    return true;
  }

  /** What a daemon at `revision` lacks: steps where they are known, else the whole. */
  public getUpdates(revision: number): Pick<schemas.SyncRes, 'deltas' | 'configuration'> {
    if (revision >= this.configuration.revision) {
      return {};
    }
    const steps = this.deltas.filter((step) => step.from >= revision);
    return steps[0]?.from === revision ? { deltas: steps } : { configuration: this.configuration };
  }

  /** Notes that a leader held this revision for the newest `ageMs` ago. */
  public recordLeaderConfirmation(ageMs: number): void {
    this.vouchedAt = Math.max(this.vouchedAt, this.clock.now() - ageMs);
  }

  /** How long ago a leader vouched for what is in force, in milliseconds. */
  public getAgeMs(): number {
    return Math.min(this.clock.now() - this.vouchedAt, Number.MAX_SAFE_INTEGER);
  }
}
