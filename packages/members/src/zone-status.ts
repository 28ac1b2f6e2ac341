import * as schemas from '@bramleyridge/schemas';

/** Maximum number of entry hosts of a zone that are announced to the other zones. */
const ENTRY_HOSTS_PER_ZONE = 4;

/** One zone, as last reported to the leader. */
export interface ZoneRow {
  readonly availabilityZone: string;
  readonly relay: string;
  readonly silentMs: number;
  readonly hosts: readonly schemas.Heartbeat[];
}

interface ZoneState {
  relay: string;
  incarnation: number;
  lastHeartbeatAt: number;
  hosts: Map<string, schemas.Heartbeat>;
}

/** The leader's status of all zones: their hosts, and the revision that is in force on each. */
export class ZoneStatus {
  private readonly zones = new Map<string, ZoneState>();

  public constructor(private readonly clock: schemas.Clock) {}

  /** Handles a relay's heartbeat; returns false if the relay must send all beats again. */
  public receiveHeartbeat(req: schemas.SyncReq): boolean {
    const zone = req.availabilityZone;
    const known = this.zones.get(zone);
    const isSame = known?.relay === req.from && known.incarnation === req.incarnation;
    if (!isSame && !req.isWhole) {
      return false;
    }
    const hosts = new Map(known?.hosts ?? []);
    req.beats.forEach((beat) => hosts.set(beat.daemonId, beat));
    req.dropped.forEach((id) => hosts.delete(id));
    this.zones.set(zone, {
      relay: req.from,
      incarnation: req.incarnation,
      lastHeartbeatAt: this.clock.now(),
      hosts,
    });
    return true;
  }

  /** Sets the beats of the leader's own zone, if the leader is its relay. */
  public setOwnZone(relay: schemas.Heartbeat, beats: readonly schemas.Heartbeat[]): void {
    this.zones.set(relay.availabilityZone, {
      relay: relay.daemonId,
      incarnation: relay.incarnation,
      lastHeartbeatAt: this.clock.now(),
      hosts: new Map(beats.map((beat) => [beat.daemonId, beat])),
    });
  }

  /** Lists all zones, sorted by name. */
  public list(): ZoneRow[] {
    return [...this.zones.entries()]
      .map(([availabilityZone, state]) => ({
        availabilityZone,
        relay: state.relay,
        silentMs: Math.round(this.clock.now() - state.lastHeartbeatAt),
        hosts: [...state.hosts.values()],
      }))
      .sort((a, b) => (a.availabilityZone < b.availabilityZone ? -1 : 1));
  }

  /** The entry hosts of each zone, for callers. */
  public getEntries(): schemas.ZoneEntries {
    const urls = Object.fromEntries(
      this.list().map((zone) => [
        zone.availabilityZone,
        zone.hosts
          .filter((beat) => !beat.isLeaving)
          .map((beat) => `http://${beat.host}:${beat.callerPort}`)
          .sort()
          .slice(0, ENTRY_HOSTS_PER_ZONE),
      ]),
    );
    return { stamp: schemas.getContentHash(urls), urls };
  }
}
