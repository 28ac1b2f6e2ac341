import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';

/** How long an upstream at which nobody listened is passed over, in milliseconds; the list lags by seconds. */
const UNREACHABLE_MS = 1_000;

/**
 * How long an upstream that was unreachable may be cold without the list saying so, in milliseconds. It comes back while
 * it is still listed as it was before.
 */
const COLD_UNTOLD_MS = 3_000;

/** An upstream as this host sees it. */
export interface KnownUpstream {
  readonly upstreamId: string;
  readonly url: string;
  readonly listed: schemas.ListedUpstream;
  readonly load: routing.UpstreamLoad;
  /** Until when it is still cold after its start, on this host's clock. */
  readonly coldUntil: number;
  /** Until when it may be cold without being listed so. */
  readonly unlistedColdUntil: number;
}

interface Entry extends KnownUpstream {
  unlistedColdUntil: number;
  isLeaving: boolean;
  isGone: boolean;
  avoidUntil: number;
}

/** The upstreams that the platform lists, and what calls to them have shown meanwhile. */
export class UpstreamDirectory {
  /** Tells that another list was taken. */
  public readonly changed = new schemas.ChangeSignal();
  private entries = new Map<string, Entry>();
  private stamp = '';
  private readAt = -Infinity;

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly log: schemas.Log,
    /** Whether an availability zone is to get no new work. */
    private readonly isEvacuated: (availabilityZone: string) => boolean = () => false,
    /** The region of an availability zone; nothing where the settings don't tell. */
    private readonly findRegion: (availabilityZone: string) => string | undefined = () => undefined,
  ) {}

  /** What the list in force is known by. */
  public getStamp(): string {
    return this.stamp;
  }

  /** Whether a list was ever read. */
  public hasList(): boolean {
    return this.stamp !== '';
  }

  /** How old the list in force is, in milliseconds. */
  public getAgeMs(): number {
    return this.clock.now() - this.readAt;
  }

  /** Notes that the list in force was still true so long ago. */
  public confirmCurrent(ageMs: number): void {
    this.readAt = Math.max(this.readAt, this.clock.now() - ageMs);
  }

  /** Takes a list; what calls have shown of an upstream stays known. */
  public applyList(list: procedures.UpstreamList, ageMs: number): void {
    this.confirmCurrent(ageMs);
    if (list.stamp === this.stamp) {
      return;
    }
    const former = this.entries;
    this.stamp = list.stamp;
    this.entries = new Map(
      list.upstreams.map((listed) => [
        listed.upstreamId,
        this.createEntry(listed, former.get(listed.upstreamId)),
      ]),
    );
    this.log.info({
      event: 'upstreams-listed',
      count: this.entries.size,
      leaving: list.upstreams.filter((item) => item.isLeaving || item.saysLeaving).length,
      ageMs: Math.round(ageMs),
    });
    this.changed.notify();
  }

  /** Takes what has changed in the list; changes of a list other than the one in force say nothing. */
  public applyChanges({ changed, from, gone, stamp }: procedures.ListChanges, ageMs: number): void {
    if (from !== this.stamp) {
      return;
    }
    const upstreams = new Map([...this.entries].map(([id, { listed }]) => [id, listed]));
    gone.forEach((upstreamId) => upstreams.delete(upstreamId));
    changed.forEach((listed) => upstreams.set(listed.upstreamId, listed));
    this.applyList({ stamp, upstreams: [...upstreams.values()] }, ageMs);
  }

  /**
   * The upstreams of a service that take calls now. Where all of them lately refused a connection they are tried all
   * the same: a zone that is cut off has one or two of its own, and passing them over refused 100 calls in a row
   * that the next connection would have taken.
   */
  public listLive(service: string, regions?: ReadonlySet<string>): KnownUpstream[] {
    const now = this.clock.now();
    const listed = [...this.entries.values()].filter(
      (item) => item.listed.service === service && this.takesWork(item, regions),
    );
    const reachable = listed.filter((item) => item.avoidUntil <= now);
    return reachable.length > 0 ? reachable : listed;
  }

  /** How many upstreams take work, of all services. */
  public countLive(): number {
    return [...this.entries.values()].filter((item) => this.takesWork(item)).length;
  }

  /** An upstream that is listed, whether or not it takes calls. */
  public find(upstreamId: string): KnownUpstream | undefined {
    return this.entries.get(upstreamId);
  }

  /**
   * Whether anything new may be sent to an upstream, whoever chose it: the leader, a copy that lies there, or this host;
   * `regions` are those to which the call is bound. One that leaves is not barred here: its own runs go on there.
   */
  public isPlacementAllowed({ listed }: KnownUpstream, regions?: ReadonlySet<string>): boolean {
    const { availabilityZone } = listed;
    if (this.isEvacuated(availabilityZone)) {
      return false;
    }
    const region = regions && this.findRegion(availabilityZone);
    return regions === undefined || (region !== undefined && regions.has(region));
  }

  /** The upstreams of a service that may not run a call that is bound to some regions. */
  public listDisallowed(service: string, regions: ReadonlySet<string>): string[] {
    return [...this.entries.values()]
      .filter((item) => item.listed.service === service && !this.isPlacementAllowed(item, regions))
      .map(({ upstreamId }) => upstreamId);
  }

  /** Whether a service has upstreams that would take work, all of them in evacuated zones. */
  public isServiceEvacuated(service: string): boolean {
    const all = [...this.entries.values()].filter(({ listed }) => listed.service === service);
    return all.length > 0 && all.every((item) => !this.isPlacementAllowed(item));
  }

  /** Whether an upstream is listed and not known to leave or to be gone. */
  public isLive(upstreamId: string): boolean {
    const entry = this.entries.get(upstreamId);
    return entry !== undefined && this.takesWork(entry);
  }

  /** Whether an upstream is known to leave as announced. */
  public isLeaving(upstreamId: string): boolean {
    const entry = this.entries.get(upstreamId);
    return entry !== undefined && (entry.isLeaving || entry.listed.saysLeaving === true);
  }

  /** Whether the process of an upstream seen before has ended and another one has its name; what it held is lost. */
  public hasRestarted({ listed, upstreamId }: KnownUpstream): boolean {
    const entry = this.entries.get(upstreamId);
    return entry !== undefined && schemas.isReborn(listed, entry.listed);
  }

  /** Notes that another process has an upstream's address, so the upstream is gone for good. */
  public noteGone(upstreamId: string): void {
    const entry = this.entries.get(upstreamId);
    if (entry !== undefined) {
      entry.isGone = true;
    }
  }

  /** Notes that nobody listened at an upstream's address. */
  public noteUnreachable(upstreamId: string): void {
    const entry = this.entries.get(upstreamId);
    if (entry !== undefined) {
      const now = this.clock.now();
      entry.avoidUntil = now + UNREACHABLE_MS;
      entry.unlistedColdUntil = now + UNREACHABLE_MS + COLD_UNTOLD_MS;
    }
  }

  /** An entry of the list; what was known of a process that has ended does not hold for the one after it. */
  private createEntry(listed: schemas.ListedUpstream, known: Entry | undefined): Entry {
    const isReborn = known !== undefined && schemas.isReborn(known.listed, listed);
    if (isReborn) {
      this.log.info({ event: 'upstream-reborn', upstream: listed.upstreamId });
    }
    const former = isReborn ? undefined : known;
    return {
      upstreamId: listed.upstreamId,
      url: `http://${listed.address}`,
      listed,
      load: former?.load ?? new routing.UpstreamLoad(),
      coldUntil: this.getColdUntil(listed, former),
      unlistedColdUntil: former?.unlistedColdUntil ?? -Infinity,
      isLeaving: listed.isLeaving || (former?.isLeaving ?? false),
      isGone: former?.isGone ?? false,
      avoidUntil: former?.avoidUntil ?? -Infinity,
    };
  }

  /** A list that says the same of an upstream as the one before says it of the same time. */
  private getColdUntil(listed: schemas.ListedUpstream, former: Entry | undefined): number {
    const isSame = former !== undefined && former.listed.coldMs === listed.coldMs;
    return isSame ? former.coldUntil : this.clock.now() + listed.coldMs;
  }

  private takesWork(entry: Entry, regions?: ReadonlySet<string>): boolean {
    const { isGone, isLeaving, listed } = entry;
    const isStaying = !isGone && !isLeaving && listed.saysLeaving !== true;
    return isStaying && this.isPlacementAllowed(entry, regions);
  }
}
