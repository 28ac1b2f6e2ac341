import type * as paths from '@bramleyridge/paths';
import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';

/** How long an upstream that refused a connection is skipped, in milliseconds; the list lags by seconds. */
const UNREACHABLE_SKIP_MS = 1_000;

/**
 * How long an upstream that was unreachable may be cold without being listed so, in milliseconds. It may restart while
 * the list still shows its earlier state.
 */
const UNLISTED_COLD_MS = 3_000;

/** How long an upstream is remembered that the list no longer has, in milliseconds; longer than any call lasts. */
const KEEP_GONE_MS = 600_000;

/** An upstream with its listed properties and the state that this host has observed. */
export interface KnownUpstream {
  readonly upstreamId: string;
  /** Identifies its process; a restart under the same upstream id gives another one. */
  readonly processId: string;
  /** IP address and port. */
  readonly address: string;
  /** Scheme, address and port. */
  readonly origin: string;
  readonly service: string;
  readonly listed: schemas.ListedUpstream;
  readonly load: routing.UpstreamLoad;
  /** End of its cold period after the start, on this host's clock in milliseconds. */
  readonly coldUntil: number;
  /** End of the period in which it may be cold without being listed so, on this host's clock in milliseconds. */
  readonly unlistedColdUntil: number;
}

interface Entry extends KnownUpstream {
  unlistedColdUntil: number;
  isLeaving: boolean;
  /** When the list may first have shown that it leaves, on this host's clock in milliseconds. */
  listedLeavingSince: number | undefined;
  isGone: boolean;
  /** When this host last saw its process end, on this host's clock in milliseconds. */
  endedAt: number;
  skipUntil: number;
}

/** The upstreams that the platform lists, with the state that this host has observed in calls to them. */
export class UpstreamDirectory {
  /** Notifies when a different list is applied. */
  public readonly changed = new schemas.ChangeSignal();
  private entries = new Map<string, Entry>();
  /** Listed upstreams that no call can be addressed to. */
  private unusable: schemas.ListedUpstream[] = [];
  /** When the list may first have shown an upstream as leaving or gone, for those that it no longer has. */
  private readonly goneSince = new Map<string, number>();
  private stamp = '';
  private readAt = -Infinity;

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly log: schemas.Log,
    /** Returns whether an availability zone must get no new work. */
    private readonly isEvacuated: (availabilityZone: string) => boolean = () => false,
    /** Returns the region of an availability zone; undefined if the settings do not name it. */
    private readonly findRegion: (availabilityZone: string) => string | undefined = () => undefined,
  ) {}

  /** Returns the stamp of the list in force; empty before the first list. */
  public getStamp(): string {
    return this.stamp;
  }

  /** Returns whether a list has been applied. */
  public hasList(): boolean {
    return this.stamp !== '';
  }

  /** Returns the age of the list in force, in milliseconds. */
  public getAgeMs(): number {
    return this.clock.now() - this.readAt;
  }

  /** Records that the list in force was still current the given number of milliseconds ago. */
  public confirmCurrent(ageMs: number): void {
    this.readAt = Math.max(this.readAt, this.clock.now() - ageMs);
  }

  /** Applies a list; keeps the observed state of upstreams whose process has not changed. */
  public applyList(list: procedures.UpstreamList, ageMs: number): void {
    // What is new on the list may have been there since this host last knew that the former one was current.
    const newSince = this.readAt;
    this.confirmCurrent(ageMs);
    if (list.stamp === this.stamp) {
      return;
    }
    const previous = this.entries;
    this.stamp = list.stamp;
    this.entries = new Map(
      this.listUsable(list).map((listed) => [
        listed.upstreamId,
        this.createEntry(listed, previous.get(listed.upstreamId), newSince),
      ]),
    );
    this.recordGone(previous, newSince);
    this.log.info({
      event: 'upstreams-listed',
      count: this.entries.size,
      leaving: list.upstreams.filter((item) => item.isLeaving || item.saysLeaving).length,
      ageMs: Math.round(ageMs),
    });
    this.changed.notify();
  }

  /** Applies changes to the list in force; ignores changes to any other list. */
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
   * Lists the upstreams of a service that accept calls now. If all of them have recently refused a connection, returns
   * them nevertheless: a partitioned zone has only one or two of its own, and skipping them refused 100 calls in a row
   * that the next connection would have accepted.
   */
  public listLive(service: string, regions?: ReadonlySet<string>): KnownUpstream[] {
    const now = this.clock.now();
    const listed = [...this.entries.values()].filter(
      (item) => item.listed.service === service && this.acceptsWork(item, regions),
    );
    const reachable = listed.filter((item) => item.skipUntil <= now);
    return reachable.length > 0 ? reachable : listed;
  }

  /** Lists all upstreams of a service, whether or not they accept work. */
  public listAll(service: string): KnownUpstream[] {
    return [...this.entries.values()].filter(({ listed }) => listed.service === service);
  }

  /** Lists the upstreams of a service that no call can be addressed to; another host may choose them. */
  public listUnusable(service: string): string[] {
    return this.unusable
      .filter((listed) => listed.service === service)
      .map(({ upstreamId }) => upstreamId);
  }

  /** Lists the upstreams of all services whose processes have stated in answers that they leave, as the list shows it. */
  public listStatedLeaving(): KnownUpstream[] {
    return [...this.entries.values()].filter(({ listed }) => listed.hasStatedLeaving === true);
  }

  /** Lists the upstreams of all services that the list shows as staying, whatever this host has observed. */
  public listShownStaying(): KnownUpstream[] {
    return [...this.entries.values()].filter(
      ({ listed }) => !listed.isLeaving && listed.saysLeaving !== true,
    );
  }

  /** Returns for how long the list may have shown that an upstream leaves or is gone, in milliseconds; 0 if it stays. */
  public getListedLeavingMs(upstreamId: string): number {
    const entry = this.entries.get(upstreamId);
    const since = entry === undefined ? this.goneSince.get(upstreamId) : entry.listedLeavingSince;
    return since === undefined ? 0 : this.clock.now() - since;
  }

  /** Returns the number of upstreams that accept work, of all services. */
  public countLive(): number {
    return [...this.entries.values()].filter((item) => this.acceptsWork(item)).length;
  }

  /** Returns a listed upstream, whether or not it accepts calls. */
  public find(upstreamId: string): KnownUpstream | undefined {
    return this.entries.get(upstreamId);
  }

  /** Returns the listed upstream at an address, whether or not it accepts calls. */
  public findByAddress(address: string): KnownUpstream | undefined {
    return [...this.entries.values()].find(({ listed }) => listed.address === address);
  }

  /** Lists the addresses of the upstreams that accept work, of all services. */
  public listAddresses(): string[] {
    return [...this.entries.values()]
      .filter((item) => this.acceptsWork(item))
      .map(({ listed }) => listed.address);
  }

  /** Returns where the bytes of a call restricted to some regions may be processed; `undefined` for any place. */
  public createPlaceRule(regions?: ReadonlySet<string>): paths.PlaceRule | undefined {
    return (
      regions && {
        key: [...regions].sort().join(','),
        allows: (zone) => {
          const region = zone && this.findRegion(zone);
          return region !== undefined && regions.has(region);
        },
      }
    );
  }

  /**
   * Returns whether new work may be sent to an upstream: its zone is not evacuated, and its region is one of `regions` if
   * the call is restricted to some. The rule holds however the upstream was selected: by the leader, by this host or for
   * the backup that it holds. An upstream that leaves is allowed, since its own runs continue there.
   */
  public isPlacementAllowed({ listed }: KnownUpstream, regions?: ReadonlySet<string>): boolean {
    const { availabilityZone } = listed;
    if (this.isEvacuated(availabilityZone)) {
      return false;
    }
    const region = regions && this.findRegion(availabilityZone);
    return regions === undefined || (region !== undefined && regions.has(region));
  }

  /** Lists the upstreams of a service that must not run a call restricted to the given regions. */
  public listDisallowed(service: string, regions: ReadonlySet<string>): string[] {
    return [...this.entries.values()]
      .filter((item) => item.listed.service === service && !this.isPlacementAllowed(item, regions))
      .map(({ upstreamId }) => upstreamId);
  }

  /** Returns whether a service has upstreams and all of them are in evacuated zones. */
  public isServiceEvacuated(service: string): boolean {
    const all = [...this.entries.values()].filter(({ listed }) => listed.service === service);
    return all.length > 0 && all.every((item) => !this.isPlacementAllowed(item));
  }

  /**
   * Returns whether an upstream is listed and accepts work: it is neither leaving nor gone, and its zone is not
   * evacuated.
   */
  public isLive(upstreamId: string): boolean {
    const entry = this.entries.get(upstreamId);
    return entry !== undefined && this.acceptsWork(entry);
  }

  /** Returns whether an upstream is known to leave, from the list or from its own report. */
  public isLeaving(upstreamId: string): boolean {
    const entry = this.entries.get(upstreamId);
    return entry !== undefined && (entry.isLeaving || entry.listed.saysLeaving === true);
  }

  /**
   * Returns whether the process of a previously obtained upstream has been replaced under the same id; its state is
   * lost.
   */
  public hasRestarted({ listed, upstreamId }: KnownUpstream): boolean {
    const entry = this.entries.get(upstreamId);
    return entry !== undefined && schemas.hasRestarted(listed, entry.listed);
  }

  /**
   * Returns whether the process of a previously obtained upstream has ended since a time, as far as this host knows. One
   * that is no longer listed may be replaced at its address at any time.
   */
  public hasEndedSince(known: KnownUpstream, since: number): boolean {
    const entry = this.entries.get(known.upstreamId);
    return (
      entry === undefined || entry.isGone || entry.endedAt >= since || this.hasRestarted(known)
    );
  }

  /** Records that an upstream's process has ended; it may be back under its id before the list shows that. */
  public noteEnded(upstreamId: string): void {
    const entry = this.entries.get(upstreamId);
    if (entry !== undefined) {
      entry.endedAt = this.clock.now();
    }
  }

  /** Records that another process has an upstream's address, so the upstream is gone permanently. */
  public noteGone(upstreamId: string): void {
    const entry = this.entries.get(upstreamId);
    if (entry !== undefined) {
      entry.isGone = true;
    }
  }

  /** Records that an upstream's process has stated that it leaves. */
  public noteLeaving({ processId, upstreamId }: requests.UpstreamProcess): void {
    const entry = this.entries.get(upstreamId);
    if (entry !== undefined && entry.processId === processId) {
      entry.isLeaving = true;
    }
  }

  /** Records that an upstream refused a connection. */
  public noteUnreachable(upstreamId: string): void {
    const entry = this.entries.get(upstreamId);
    if (entry !== undefined) {
      const now = this.clock.now();
      entry.skipUntil = now + UNREACHABLE_SKIP_MS;
      entry.unlistedColdUntil = now + UNREACHABLE_SKIP_MS + UNLISTED_COLD_MS;
    }
  }

  /**
   * Lists the upstreams to which a call can be addressed, with their addresses in the form by which paths are compared. A
   * leader of the previous version distributes other ones, too.
   */
  private listUsable({ upstreams }: procedures.UpstreamList): schemas.ListedUpstream[] {
    const usable: schemas.ListedUpstream[] = [];
    this.unusable = [];
    upstreams.forEach((listed) => {
      const { data: address } = schemas.address.safeParse(listed.address);
      if (address !== undefined && schemas.isHeaderText(listed.upstreamId)) {
        usable.push({ ...listed, address });
      } else {
        this.unusable.push(listed);
      }
    });
    if (this.unusable.length > 0) {
      this.log.warn({ event: 'upstreams-without-address', count: this.unusable.length });
    }
    return usable;
  }

  /** Creates an entry. The state of an earlier process under the same id is not carried over. */
  private createEntry(
    listed: schemas.ListedUpstream,
    known: Entry | undefined,
    newSince: number,
  ): Entry {
    const hasRestarted = known !== undefined && schemas.hasRestarted(known.listed, listed);
    if (hasRestarted) {
      this.log.info({ event: 'upstream-reborn', upstream: listed.upstreamId });
    }
    const previous = hasRestarted ? undefined : known;
    return {
      upstreamId: listed.upstreamId,
      processId: schemas.getProcessId(listed),
      address: listed.address,
      origin: `http://${listed.address}`,
      service: listed.service,
      listed,
      load: previous?.load ?? new routing.UpstreamLoad(),
      coldUntil: this.getColdUntil(listed, previous),
      unlistedColdUntil: previous?.unlistedColdUntil ?? -Infinity,
      isLeaving:
        listed.isLeaving || listed.hasStatedLeaving === true || (previous?.isLeaving ?? false),
      listedLeavingSince: listed.isLeaving ? (previous?.listedLeavingSince ?? newSince) : undefined,
      isGone: previous?.isGone ?? false,
      endedAt: previous?.endedAt ?? -Infinity,
      skipUntil: previous?.skipUntil ?? -Infinity,
    };
  }

  /**
   * Keeps the end of the cold period while the listed value is unchanged, since it then still refers to the earlier
   * read.
   */
  private getColdUntil(listed: schemas.ListedUpstream, previous: Entry | undefined): number {
    const isSame = previous !== undefined && previous.listed.coldMs === listed.coldMs;
    return isSame ? previous.coldUntil : this.clock.now() + listed.coldMs;
  }

  /** Records which upstreams the list no longer has, for as long as runs may still refer to them. */
  private recordGone(previous: ReadonlyMap<string, Entry>, newSince: number): void {
    previous.forEach(({ listedLeavingSince }, upstreamId) => {
      if (!this.entries.has(upstreamId)) {
        this.goneSince.set(upstreamId, listedLeavingSince ?? newSince);
      }
    });
    this.goneSince.forEach((since, upstreamId) => {
      if (this.entries.has(upstreamId) || this.clock.now() - since > KEEP_GONE_MS) {
        this.goneSince.delete(upstreamId);
      }
    });
  }

  private acceptsWork(entry: Entry, regions?: ReadonlySet<string>): boolean {
    const { isGone, isLeaving, listed } = entry;
    const isStaying = !isGone && !isLeaving && listed.saysLeaving !== true;
    return isStaying && this.isPlacementAllowed(entry, regions);
  }
}
