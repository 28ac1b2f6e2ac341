import type * as schemas from '@bramleyridge/schemas';

import * as memberLife from './member-lifecycle.js';

/** After how many suspect times a silent member is dropped. */
const DROP_FACTOR = 3;

interface Row {
  beat: schemas.Beat;
  heardAt: number;
  readonly life: schemas.Lifecycle<schemas.MemberState, memberLife.MemberEvent>;
}

/** The daemons that are heard, and how each stands. */
export class MemberTable {
  private readonly rows = new Map<string, Row>();

  public constructor(
    private readonly clock: schemas.Clock,
    private readonly suspectMs: number,
  ) {}

  /** Takes a heartbeat; one of an older incarnation is a late message and changes nothing. */
  public receive(beat: schemas.Beat): void {
    const known = this.rows.get(beat.daemonId);
    if (known !== undefined && beat.incarnation < known.beat.incarnation) {
      return;
    }
    const isNew = known === undefined || beat.incarnation > known.beat.incarnation;
    const row = isNew ? { beat, heardAt: 0, life: memberLife.createMemberLifecycle() } : known;
    row.beat = beat;
    row.heardAt = this.clock.now();
    row.life.move(beat.isLeaving ? 'leave' : 'hear');
    this.rows.set(beat.daemonId, row);
  }

  /** Counts as heard everyone whom another vouches for without a changed beat. */
  public refresh(daemonIds: Iterable<string>): void {
    for (const id of daemonIds) {
      const row = this.rows.get(id);
      if (row !== undefined && row.life.can('hear')) {
        row.heardAt = this.clock.now();
        row.life.move('hear');
      }
    }
  }

  /**
   * Takes over the list of a former relay. Everyone on it counts as heard now: a new relay that began
   * empty would move every pool at once, though nobody but the old relay is gone.
   */
  public adopt(members: readonly schemas.Member[]): void {
    members
      .filter((member) => member.state !== 'gone')
      .filter((member) => !this.rows.has(member.daemonId))
      .forEach((member) => this.receive(member));
  }

  /** Everyone, with states as of now; those silent for long are dropped. */
  public list(): schemas.Member[] {
    const now = this.clock.now();
    this.rows.forEach((row, id) => {
      const silentMs = now - row.heardAt;
      if (silentMs > this.suspectMs && row.life.state === 'live') {
        row.life.move('miss');
      }
      if (silentMs > DROP_FACTOR * this.suspectMs) {
        this.rows.delete(id);
      }
    });
    return [...this.rows.values()]
      .map(({ beat, life }) => ({ ...beat, state: life.state }))
      .sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
  }

  /** A member's beat, or nothing when it is not heard. */
  public find(daemonId: string): schemas.Beat | undefined {
    return this.rows.get(daemonId)?.beat;
  }
}
