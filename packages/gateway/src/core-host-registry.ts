import type * as consensus from '@bramleyridge/consensus';
import type * as schemas from '@bramleyridge/schemas';

/** After how long without a word a core host is no longer asked, in milliseconds. */
const FORGET_MS = 60_000;

/** What a core host says of itself when it greets. */
export interface CoreAnnouncement {
  readonly coreId: string;
  readonly voterId: string;
  readonly availabilityZone?: string | undefined;
  readonly isLeaving?: boolean | undefined;
}

interface Heard {
  readonly greeting: CoreAnnouncement;
  readonly at: number;
}

/** The core hosts that this one knows of: by name from the settings and the others, and as heard itself. */
export class CoreHostRegistry {
  /** Who leads, as another core host told; for hosts without a seat, which hear no leader themselves. */
  public leaderHint: string | undefined;
  private readonly known = new Map<string, number>();
  private readonly heard = new Map<string, Heard>();

  public constructor(
    private readonly ownId: string,
    private readonly clock: schemas.Clock,
  ) {}

  /** Learns names, from the settings or from another core host. */
  public addNames(coreIds: readonly string[]): void {
    const now = this.clock.now();
    coreIds
      .filter((coreId) => coreId !== this.ownId && !this.known.has(coreId))
      .forEach((coreId) => this.known.set(coreId, now));
  }

  /** Notes that a core host spoke, and with which data folder. */
  public recordAnnouncement(greeting: CoreAnnouncement): void {
    const at = this.clock.now();
    this.known.set(greeting.coreId, at);
    this.heard.set(greeting.voterId, { greeting, at });
  }

  /** The other core hosts, by name. */
  public listOthers(): string[] {
    const now = this.clock.now();
    // A host that was replaced for good would otherwise be asked, and named to others, for ever.
    [...this.known]
      .filter(([, at]) => now - at > FORGET_MS)
      .forEach(([coreId]) => this.known.delete(coreId));
    return [...this.known.keys()];
  }

  /** All core hosts by name, this one included. */
  public listAll(): string[] {
    return [this.ownId, ...this.listOthers()];
  }

  /** Who could hold a seat, with how long they have been silent. */
  public listCandidates(): consensus.VoterSlotCandidate[] {
    const now = this.clock.now();
    return [...this.heard.values()].map(({ greeting, at }) => ({
      daemonId: greeting.coreId,
      voterId: greeting.voterId,
      availabilityZone: greeting.availabilityZone,
      isLeaving: greeting.isLeaving,
      silentMs: now - at,
    }));
  }
}
