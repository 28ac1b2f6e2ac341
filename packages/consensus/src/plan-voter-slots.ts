import type * as types from './types.js';

/** A host that could hold a seat, as the leader hears of it. */
export interface VoterSlotCandidate extends types.VoterSlot {
  /** How long ago it was last heard, in milliseconds. */
  readonly silentMs: number;
  readonly availabilityZone?: string | undefined;
  /** Whether it says that it is about to stop. */
  readonly isLeaving?: boolean | undefined;
}

/** A seat, with how its holder does. */
export interface OccupiedVoterSlot extends types.VoterSlot {
  /** For how long it has not held everything that was committed, in milliseconds. */
  readonly silentMs: number;
}

/** What is known when the seats are looked over. */
export interface VoterSlotPlanInput {
  readonly slots: readonly OccupiedVoterSlot[];
  /** Every host with a disk that was ever heard, the leader's own included. */
  readonly candidates: readonly VoterSlotCandidate[];
  /** How many seats there should be: twice the losses to be borne, and one. */
  readonly slotCount: number;
  /** How long a holder may be silent before another takes its seat, in milliseconds. */
  readonly replaceAfterMs: number;
  /** Within which a host counts as live, in milliseconds. */
  readonly liveMs: number;
}

/**
 * Who should hold the seats; nothing when those that do should go on. A holder that is silent or leaves is a loss until
 * another has its seat, and so is one that came back with an empty disk, a stranger under its old name. No more seats
 * than the losses to be borne lie in one availability zone while there are hosts elsewhere, so that a lost zone is
 * borne too.
 */
export function planVoterSlots(facts: VoterSlotPlanInput): readonly types.VoterSlot[] | undefined {
  const plan = new SeatPlan(facts);
  const next = plan.choose();
  const isSame =
    next.length === facts.slots.length &&
    next.every((seat) => facts.slots.some((other) => other.voterId === seat.voterId));
  return isSame ? undefined : next.map(({ daemonId, voterId }) => ({ daemonId, voterId }));
}

class SeatPlan {
  private readonly chosen: types.VoterSlot[] = [];
  private readonly spares: readonly VoterSlotCandidate[];
  private readonly staying: readonly OccupiedVoterSlot[];
  /** Holders that may come back, the last heard first: better than an empty seat, worse than a live host. */
  private readonly away: readonly OccupiedVoterSlot[];

  public constructor(private readonly facts: VoterSlotPlanInput) {
    const { slots: seats } = facts;
    this.spares = this.listSpares();
    // A folder that was lost does not come back, so its seat is not kept for it.
    const kept = seats.filter(({ daemonId }) => !this.isRemade(daemonId));
    this.staying = kept.filter((seat) => !this.isAway(seat));
    this.away = kept.filter((seat) => this.isAway(seat)).sort((a, b) => a.silentMs - b.silentMs);
  }

  public choose(): readonly types.VoterSlot[] {
    const { facts, spares, staying } = this;
    const perZone = Math.floor(facts.slotCount / 2);
    this.take(staying, perZone);
    this.take(spares, perZone);
    this.take(staying, Infinity);
    this.take(spares, Infinity);
    this.take(this.away, Infinity);
    this.makeOdd();
    return this.chosen;
  }

  /** Takes whoever is not chosen yet, as long as there are seats and no zone has more than it should. */
  private take(hosts: readonly types.VoterSlot[], perZone: number): void {
    hosts.forEach((host) => {
      const isFull = this.chosen.length >= this.facts.slotCount;
      if (!isFull && !this.chosen.includes(host) && this.countIn(host) < perZone) {
        this.chosen.push(host);
      }
    });
  }

  /**
   * An even number bears no more losses than the odd one below it, and needs one vote more. So a seat that would be
   * kept for a host that is away, or given to one that is not needed for more, is left out.
   */
  private makeOdd(): void {
    const last = this.chosen.at(-1);
    if (
      this.chosen.length % 2 === 0 &&
      last !== undefined &&
      !this.staying.some((s) => s === last)
    ) {
      this.chosen.pop();
    }
  }

  private countIn(host: types.VoterSlot): number {
    const zone = this.findZone(host);
    const inZone = this.chosen.filter((other) => this.findZone(other) === zone);
    return zone === undefined ? 0 : inZone.length;
  }

  /** Live hosts without a seat; those that came back with an empty disk first, whose former seat is lost for sure. */
  private listSpares(): VoterSlotCandidate[] {
    const { candidates, liveMs, slots: seats } = this.facts;
    const isSeated = (host: types.VoterSlot) => seats.some((seat) => seat.voterId === host.voterId);
    const spares = candidates.filter(
      (host) => host.silentMs <= liveMs && host.isLeaving !== true && !isSeated(host),
    );
    const hadSeat = (host: types.VoterSlot) =>
      Number(seats.some((seat) => seat.daemonId === host.daemonId));
    return spares.sort((a, b) => hadSeat(b) - hadSeat(a));
  }

  private isRemade(daemonId: string): boolean {
    return this.spares.some((host) => host.daemonId === daemonId);
  }

  private isAway(seat: OccupiedVoterSlot): boolean {
    return seat.silentMs > this.facts.replaceAfterMs || this.findHost(seat)?.isLeaving === true;
  }

  private findZone(host: types.VoterSlot): string | undefined {
    return this.findHost(host)?.availabilityZone;
  }

  private findHost({ voterId }: types.VoterSlot): VoterSlotCandidate | undefined {
    return this.facts.candidates.find((host) => host.voterId === voterId);
  }
}
