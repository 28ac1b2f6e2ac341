import * as schemas from '@bramleyridge/schemas';

import * as memberTables from './member-table.js';
import * as ownership from './pool-ownership.js';

/** A host's view of its zone: the directory of its relay, or its own one if it is the relay. */
export class ZoneView {
  public readonly changed = new schemas.ChangeSignal();
  public entries: schemas.ZoneEntries = { stamp: '', urls: {} };
  private readonly table: memberTables.MemberTable;
  private receivedDirectory: schemas.Directory;
  private ownDirectory: schemas.Directory;
  private upstreams: readonly schemas.Upstream[] = [];
  private relaying = false;
  private hasList = false;

  public constructor(
    private readonly self: () => schemas.Heartbeat,
    clock: schemas.Clock,
    suspectMs: number,
  ) {
    this.table = new memberTables.MemberTable(clock, suspectMs);
    const { availabilityZone } = self();
    this.receivedDirectory = {
      stamp: '',
      availabilityZone,
      members: [],
      upstreams: [],
      hasList: false,
    };
    this.ownDirectory = this.receivedDirectory;
  }

  /** Whether this host is its zone's relay. */
  public isRelay(): boolean {
    return this.relaying;
  }

  /** Starts or stops acting as the relay. */
  public setRelay(isRelay: boolean): void {
    if (isRelay && !this.relaying) {
      this.table.adopt(this.receivedDirectory.members);
      this.hasList ||= this.receivedDirectory.hasList;
      this.upstreams =
        this.upstreams.length > 0 ? this.upstreams : this.receivedDirectory.upstreams;
    }
    if (!isRelay && this.relaying && this.hasList) {
      this.refresh();
      // Until the next relay answers; hosts that still ask this one would lose their upstreams with it.
      this.receivedDirectory = this.ownDirectory;
    }
    this.relaying = isRelay;
    this.refresh();
  }

  /** Handles the heartbeats that a host reports. */
  public receiveHeartbeats(beats: readonly schemas.Heartbeat[], from: string): void {
    beats.forEach((beat) => this.table.receive(beat));
    this.table.refresh([from]);
    this.refresh();
  }

  /** Whether a heartbeat of this incarnation of a host is stored, so that it need not be sent again. */
  public hasHeartbeat(daemonId: string, incarnation: number): boolean {
    return this.table.find(daemonId)?.incarnation === incarnation;
  }

  /** Applies the directory of the zone's relay. */
  public receiveDirectory(directory: schemas.Directory): void {
    this.receivedDirectory = directory;
    this.changed.notify();
  }

  /** Sets the upstreams of this zone, from the platform's list. */
  public setUpstreams(upstreams: readonly schemas.Upstream[]): void {
    this.upstreams = upstreams;
    this.hasList = true;
    this.refresh();
  }

  /**
   * Whether the zone's upstreams are available. A host that has just started without them would refuse every call, so
   * callers must not be sent to it yet. The directory of a relay that has not read the list itself does not count:
   * otherwise all hosts of a zone that start together would report ready and refuse calls for 0.4 s.
   */
  public hasUpstreamList(): boolean {
    return this.relaying ? this.hasList : this.receivedDirectory.hasList;
  }

  /** The hosts and upstreams of the zone. */
  public getDirectory(): schemas.Directory {
    return this.relaying ? this.ownDirectory : this.receivedDirectory;
  }

  /** The heartbeats that this host has received itself, its own first. */
  public listHeartbeats(): schemas.Heartbeat[] {
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

  /** Rebuilds the relay's own directory from the current time and heartbeats. */
  public refresh(): void {
    if (!this.relaying) {
      return;
    }
    this.table.receive(this.self());
    const members = this.table.list().map((member) => ({ ...member, revision: 0 }));
    const { hasList } = this;
    const upstreams = [...this.upstreams];
    const stamp = schemas.getContentHash([this.self().daemonId, members, upstreams, hasList]);
    if (stamp !== this.ownDirectory.stamp) {
      const { availabilityZone } = this.self();
      this.ownDirectory = { stamp, availabilityZone, members, upstreams, hasList };
      this.changed.notify();
    }
  }
}
