import type * as consensus from '@bramleyridge/consensus';
import type * as schemas from '@bramleyridge/schemas';

/** Time without an announcement after which a core host is no longer contacted, in milliseconds. */
const EXPIRY_MS = 60_000;

/** What a core host announces about itself. */
export interface CoreAnnouncement {
  readonly coreId: string;
  readonly voterId: string;
  readonly availabilityZone?: string | undefined;
  readonly isLeaving?: boolean | undefined;
}

interface ReceivedAnnouncement {
  readonly announcement: CoreAnnouncement;
  readonly receivedAt: number;
}

/**
 * Core hosts known to this one: names from the settings and from other core hosts, and announcements received
 * here.
 */
export class CoreHostRegistry {
  /** The leader as another core host named it; used by hosts that are no voters, which receive no heartbeats. */
  public leaderHint: string | undefined;
  /** Time of the last announcement of each other core host or, before the first, at which its name was added. */
  private readonly lastSeenAt = new Map<string, number>();
  /** Names of the core hosts among them that have announced themselves here. */
  private readonly announced = new Set<string>();
  private readonly announcements = new Map<string, ReceivedAnnouncement>();

  public constructor(
    private readonly ownId: string,
    private readonly clock: schemas.Clock,
  ) {}

  /** Adds names from the settings or from another core host. */
  public addNames(coreIds: readonly string[]): void {
    const now = this.clock.now();
    coreIds
      .filter((coreId) => coreId !== this.ownId && !this.lastSeenAt.has(coreId))
      .forEach((coreId) => this.lastSeenAt.set(coreId, now));
  }

  /** Records an announcement and the voter ID of the data folder that it was sent with. */
  public recordAnnouncement(announcement: CoreAnnouncement): void {
    const receivedAt = this.clock.now();
    this.lastSeenAt.set(announcement.coreId, receivedAt);
    this.announced.add(announcement.coreId);
    this.announcements.set(announcement.voterId, { announcement, receivedAt });
  }

  /** Lists the other core hosts by name. */
  public listOthers(): string[] {
    const now = this.clock.now();
    // Otherwise a host that was replaced permanently would be contacted, and named to other hosts, for ever.
    [...this.lastSeenAt]
      .filter(([, at]) => now - at > EXPIRY_MS)
      .forEach(([coreId]) => {
        this.lastSeenAt.delete(coreId);
        this.announced.delete(coreId);
      });
    return [...this.lastSeenAt.keys()];
  }

  /**
   * Lists the core hosts by name that this one can vouch for: itself and those that it has heard. Hosts that passed on what
   * they were told would remind each other of one that is gone.
   */
  public listHeard(): string[] {
    return [this.ownId, ...this.listOthers().filter((coreId) => this.announced.has(coreId))];
  }

  /** Lists the hosts that could take a voter slot, with the time since their last announcement. */
  public listCandidates(): consensus.VoterSlotCandidate[] {
    const now = this.clock.now();
    return [...this.announcements.values()].map(({ announcement, receivedAt }) => ({
      daemonId: announcement.coreId,
      voterId: announcement.voterId,
      availabilityZone: announcement.availabilityZone,
      isLeaving: announcement.isLeaving,
      silentMs: now - receivedAt,
    }));
  }
}
