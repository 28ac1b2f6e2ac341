import * as schemas from '@bramleyridge/schemas';

import * as memberTables from './member-table.js';
import * as ownership from './pool-ownership.js';

/** What a daemon knows of its own zone: from its relay, or as the relay itself. */
export class ZoneView {
  public readonly changed = new schemas.ChangeSignal();
  public entries: schemas.ZoneEntries = { stamp: '', urls: {} };
  private readonly table: memberTables.MemberTable;
  private received: schemas.Directory;
  private own: schemas.Directory;
  private upstreams: readonly schemas.Upstream[] = [];
  private relaying = false;
  private hasList = false;

  public constructor(
    private readonly self: () => schemas.Beat,
    clock: schemas.Clock,
    suspectMs: number,
  ) {
    this.table = new memberTables.MemberTable(clock, suspectMs);
    const { availabilityZone } = self();
    this.received = { stamp: '', availabilityZone, members: [], upstreams: [], hasList: false };
    this.own = this.received;
  }

  /** Whether this daemon acts as its zone's relay now. */
  public isRelay(): boolean {
    return this.relaying;
  }

  /** Begins or ends to act as the relay. */
  public setRelay(isRelay: boolean): void {
    if (isRelay && !this.relaying) {
      this.table.adopt(this.received.members);
      this.hasList ||= this.received.hasList;
      this.upstreams = this.upstreams.length > 0 ? this.upstreams : this.received.upstreams;
    }
    this.relaying = isRelay;
    this.refresh();
  }

  /** Takes the heartbeats that a daemon brings. */
  public receiveHeartbeats(beats: readonly schemas.Beat[], from: string): void {
    beats.forEach((beat) => this.table.receive(beat));
    this.table.refresh([from]);
    this.refresh();
  }

  /** Whether a daemon's heartbeat is known here, so that it need not be sent again. */
  public hasHeartbeat(daemonId: string, incarnation: number): boolean {
    return this.table.find(daemonId)?.incarnation === incarnation;
  }

  /** Takes the list of the zone's relay. */
  public receiveDirectory(directory: schemas.Directory): void {
    this.received = directory;
    this.changed.notify();
  }

  /** Takes the platform's list of this zone's upstreams. */
  public setUpstreams(upstreams: readonly schemas.Upstream[]): void {
    this.upstreams = upstreams;
    this.hasList = true;
    this.refresh();
  }

  /**
   * Whether it has learned the zone's upstreams. A daemon that has just started and has not would refuse every call, so
   * callers must not be sent to it yet. A directory of a relay that has not read the list itself does not count: with
   * it all daemons of a zone that started together said that they were ready and refused for 0.4 s.
   */
  public hasUpstreamList(): boolean {
    return this.relaying ? this.hasList : this.received.hasList;
  }

  /** The zone's daemons and upstreams. */
  public getDirectory(): schemas.Directory {
    return this.relaying ? this.own : this.received;
  }

  /** The beats that this daemon hears itself, its own first. */
  public listHeartbeats(): schemas.Beat[] {
    const own = this.self();
    const others = this.table
      .list()
      .filter((member) => member.state !== 'gone' && member.daemonId !== own.daemonId)
      .map(({ state, ...beat }) => beat);
    return [own, ...others];
  }

  /** The owner of a pool of this zone. */
  public findOwner(model: string): schemas.Member | undefined {
    const directory = this.getDirectory();
    return ownership.findPoolOwner(directory.availabilityZone, model, directory.members);
  }

  /** Brings the relay's own list up to date with time and heartbeats. */
  public refresh(): void {
    if (!this.relaying) {
      return;
    }
    this.table.receive(this.self());
    const members = this.table.list().map((member) => ({ ...member, revision: 0 }));
    const { hasList } = this;
    const upstreams = [...this.upstreams];
    const stamp = schemas.getContentHash([this.self().daemonId, members, upstreams, hasList]);
    if (stamp !== this.own.stamp) {
      const { availabilityZone } = this.self();
      this.own = { stamp, availabilityZone, members, upstreams, hasList };
      this.changed.notify();
    }
  }
}
