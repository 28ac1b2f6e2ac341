import type * as schemas from '@bramleyridge/schemas';

/** Minimum number of zones over which acceptors can be spread so that no zone has a majority. */
const MIN_SPREAD_ZONES = 3;

/** A daemon that the settings name, and its zone. */
export type ConfiguredDaemon = Pick<schemas.DaemonEntry, 'daemonId' | 'availabilityZone'>;

/** The zones of the daemons that the settings name, and how many claim acceptors each may have. */
export class ClaimZones {
  private readonly zoneOf: ReadonlyMap<string, string>;
  private readonly isSpread: boolean;

  /** `allowed` lists the daemons that may run an acceptor; any daemon may when it is empty. */
  public constructor(configured: readonly ConfiguredDaemon[], allowed: readonly string[]) {
    const eligible = configured.filter(
      (item) => allowed.length === 0 || allowed.includes(item.daemonId),
    );
    const zones = new Set(eligible.map((item) => item.availabilityZone));
    this.zoneOf = new Map(configured.map((item) => [item.daemonId, item.availabilityZone]));
    this.isSpread = zones.size >= MIN_SPREAD_ZONES;
  }

  /**
   * Returns how many of `size` acceptors one zone may have: all with fewer than three zones, since
   * of two zones one always has a majority, else fewer than a majority.
   */
  public getLimit(size: number): number {
    return this.isSpread ? Math.floor(size / 2) : size;
  }

  /** Returns how many of these daemons are in the zone of `daemonId`. */
  public count(daemonIds: readonly string[], daemonId: string): number {
    const zone = this.find(daemonId);
    return daemonIds.filter((id) => this.find(id) === zone).length;
  }

  /** Returns the number of these daemons that are in the zone with the most of them. */
  public getLargest(daemonIds: readonly string[]): number {
    return Math.max(0, ...daemonIds.map((id) => this.count(daemonIds, id)));
  }

  /** A daemon that the settings no longer name counts as a zone of its own. */
  private find(daemonId: string): string {
    return this.zoneOf.get(daemonId) ?? `unknown zone of ${daemonId}`;
  }
}
