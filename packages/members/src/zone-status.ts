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
  public take(req: schemas.SyncReq): boolean {
    const first = req.beats.find((beat) => beat.daemonId === req.from);
    const zone = first?.availabilityZone ?? this.findZoneOf(req.from);
    const known = zone === undefined ? undefined : this.zones.get(zone);
    const isSame = known?.relay === req.from && known.incarnation === req.incarnation;
    if (zone === undefined || (!isSame && !req.isWhole)) {
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

  private findZoneOf(daemonId: string): string | undefined {
    return [...this.zones.entries()].find(([, heard]) => heard.relay === daemonId)?.[0];
  }
}
