import type * as schemas from '@bramleyridge/schemas';

import * as memberLifecycle from './member-lifecycle.js';

/** Multiple of `suspectMs` after which a member without a heartbeat is dropped. */
const DROP_FACTOR = 3;

interface MemberRecord {
  beat: schemas.Heartbeat;
  lastHeartbeatAt: number;
  readonly lifecycle: schemas.Lifecycle<schemas.MemberState, memberLifecycle.MemberEvent>;
}

/** The members of a zone and their states, from their heartbeats. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly suspectMs: number,
  ) {}

  /** Handles a heartbeat. A heartbeat of an older incarnation is a delayed message and is ignored. */
  public receive(beat: schemas.Heartbeat): void {
    const known = this.records.get(beat.daemonId);
    if (known !== undefined && beat.incarnation < known.beat.incarnation) {
      return;
    }
    const isNew = known === undefined || beat.incarnation > known.beat.incarnation;
    const record = isNew
      ? { beat, lastHeartbeatAt: 0, lifecycle: memberLifecycle.createMemberLifecycle() }
      : known;
    record.beat = beat;
    record.lastHeartbeatAt = this.clock.now();
    record.lifecycle.move(beat.isLeaving ? 'leave' : 'hear');
    this.records.set(beat.daemonId, record);
  }

  /** Counts members as alive whose heartbeat is unchanged and was therefore not sent again. */
  public refresh(daemonIds: Iterable<string>): void {
    for (const id of daemonIds) {
      const record = this.records.get(id);
      if (record !== undefined && record.lifecycle.can('hear')) {
        record.lastHeartbeatAt = this.clock.now();
        record.lifecycle.move('hear');
      }
    }
  }

  /**
   * Takes over the members of the previous relay. All of them count as alive now: a new relay that started with an
   * empty table would move all pools at once, though only the previous relay is gone.
   */
  public adopt(members: readonly schemas.Member[]): void {
    members
      .filter((member) => member.state !== 'gone')
      .filter((member) => !this.records.has(member.daemonId))
      .forEach((member) => this.receive(member));
  }

  /** Lists all members with their current states; drops those without a heartbeat for too long. */
  public list(): schemas.Member[] {
    const now = this.clock.now();
    this.records.forEach((record, id) => {
      const sinceHeartbeatMs = now - record.lastHeartbeatAt;
      if (sinceHeartbeatMs > this.suspectMs && record.lifecycle.state === 'live') {
        record.lifecycle.move('miss');
      }
      if (sinceHeartbeatMs > DROP_FACTOR * this.suspectMs) {
        this.records.delete(id);
      }
    });
    return [...this.records.values()]
      .map(({ beat, lifecycle }) => ({ ...beat, state: lifecycle.state }))
      .sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
  }

  /** The last heartbeat of a member, or `undefined` if it is not in the table. */
  public find(daemonId: string): schemas.Heartbeat | undefined {
    return this.records.get(daemonId)?.beat;
  }
}
