import * as schemas from '@bramleyridge/schemas';

/** How many entry hosts of a zone are told to the other zones. */
const ENTRIES_PER_ZONE = 4;

/** One zone as the leader last heard of it. */
export interface ZoneRow {
  readonly availabilityZone: string;
  readonly relay: string;
  readonly silentMs: number;
  readonly hosts: readonly schemas.Beat[];
}

interface Heard {
  relay: string;
  incarnation: number;
  heardAt: number;
  hosts: Map<string, schemas.Beat>;
}

/** What the leader knows of every zone: which daemons, which revision each has in force. */
export class ZoneStatus {
  private readonly zones = new Map<string, Heard>();

  public constructor(private readonly clock: schemas.Clock) {}

  /** Takes a relay's heartbeat; false when the relay must send all its beats again. */
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
      heardAt: this.clock.now(),
      hosts,
    });
    return true;
  }

  /** Takes the beats of the leader's own zone, where the leader is the relay itself. */
  public setOwnZone(relay: schemas.Beat, beats: readonly schemas.Beat[]): void {
    this.zones.set(relay.availabilityZone, {
      relay: relay.daemonId,
      incarnation: relay.incarnation,
      heardAt: this.clock.now(),
      hosts: new Map(beats.map((beat) => [beat.daemonId, beat])),
    });
  }

  /** Every zone, by name. */
  public list(): ZoneRow[] {
    return [...this.zones.entries()]
      .map(([availabilityZone, heard]) => ({
        availabilityZone,
        relay: heard.relay,
        silentMs: Math.round(this.clock.now() - heard.heardAt),
        hosts: [...heard.hosts.values()],
      }))
      .sort((a, b) => (a.availabilityZone < b.availabilityZone ? -1 : 1));
  }

  /** Where callers find each zone. */
  public getEntries(): schemas.ZoneEntries {
    const urls = Object.fromEntries(
      this.list().map((zone) => [
        zone.availabilityZone,
        zone.hosts
          .filter((beat) => !beat.isLeaving)
          .map((beat) => `http://${beat.host}:${beat.callerPort}`)
          .sort()
          .slice(0, ENTRIES_PER_ZONE),
      ]),
    );
    return { stamp: schemas.getContentHash(urls), urls };
  }
}
