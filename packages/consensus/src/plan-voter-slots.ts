import type * as types from './types.js';

/** A host that could get a voter slot, as reported to the leader. */
export interface VoterSlotCandidate extends types.VoterSlot {
  /** Time since its last report, in milliseconds. */
  readonly silentMs: number;
  readonly availabilityZone?: string | undefined;
  /** Whether it has reported that it is shutting down. */
  readonly isLeaving?: boolean | undefined;
}

/** A voter slot, with the state of its holder. */
export interface OccupiedVoterSlot extends types.VoterSlot {
  /** How long the holder has lacked entries that were committed, in milliseconds. */
  readonly silentMs: number;
}

/** Input of `planVoterSlots`. */
export interface VoterSlotPlanInput {
  readonly slots: readonly OccupiedVoterSlot[];
  /** All hosts with a disk that have ever reported, including the leader's own. */
  readonly candidates: readonly VoterSlotCandidate[];
  /** The desired number of slots: `2 * f + 1` to tolerate `f` losses. */
  readonly slotCount: number;
  /** How long a holder may lag before another host gets its slot, in milliseconds. */
  readonly replaceAfterMs: number;
  /** Maximum time since the last report of a host that counts as live, in milliseconds. */
  readonly liveMs: number;
}

/**
 * Plans which hosts hold the voter slots; `undefined` if nothing changes. A holder that is unresponsive, that shuts
 * down, or that came back with an empty disk (same name, different id) counts as a loss until its slot is reassigned.
 * One availability zone gets no more slots than the losses to tolerate while there are hosts in other zones, so that
 * the loss of a zone is tolerated too.
 */
export function planVoterSlots(input: VoterSlotPlanInput): readonly types.VoterSlot[] | undefined {
  const plan = new VoterSlotPlanner(input);
  const next = plan.choose();
  const isSame =
    next.length === input.slots.length &&
    next.every((slot) => input.slots.some((other) => other.voterId === slot.voterId));
  return isSame ? undefined : next.map(({ daemonId, voterId }) => ({ daemonId, voterId }));
}

class VoterSlotPlanner {
  private readonly chosen: types.VoterSlot[] = [];
  private readonly spares: readonly VoterSlotCandidate[];
  private readonly retained: readonly OccupiedVoterSlot[];
  /**
   * Holders that may come back, the most recently up to date first: preferred to an empty slot, but not to a live host.
   */
  private readonly unavailable: readonly OccupiedVoterSlot[];

  public constructor(private readonly input: VoterSlotPlanInput) {
    const { slots: current } = input;
    this.spares = this.listSpares();
    // A lost data directory does not come back, so its slot is not retained.
    const kept = current.filter(({ daemonId }) => !this.wasRecreated(daemonId));
    this.retained = kept.filter((slot) => !this.isUnavailable(slot));
    this.unavailable = kept
      .filter((slot) => this.isUnavailable(slot))
      .sort((a, b) => a.silentMs - b.silentMs);
  }

  public choose(): readonly types.VoterSlot[] {
    const { input, spares, retained } = this;
    const perZone = Math.floor(input.slotCount / 2);
    this.add(retained, perZone);
    this.add(spares, perZone);
    this.add(retained, Infinity);
    this.add(spares, Infinity);
    this.add(this.unavailable, Infinity);
    this.makeOdd();
    return this.chosen;
  }

  /** Adds hosts that are not chosen yet, up to the number of slots and the limit per zone. */
  private add(hosts: readonly types.VoterSlot[], perZone: number): void {
    hosts.forEach((host) => {
      const isFull = this.chosen.length >= this.input.slotCount;
      if (!isFull && !this.chosen.includes(host) && this.countInZone(host) < perZone) {
        this.chosen.push(host);
      }
    });
  }

  /**
   * Makes the number of voters odd: an even number tolerates no more losses than the odd number below it and needs one
   * vote more. So a last slot that would be kept for an unavailable host or given to a spare one is dropped.
   */
  private makeOdd(): void {
    const last = this.chosen.at(-1);
    if (
      this.chosen.length % 2 === 0 &&
      last !== undefined &&
      !this.retained.some((s) => s === last)
    ) {
      this.chosen.pop();
    }
  }

  private countInZone(host: types.VoterSlot): number {
    const zone = this.findZone(host);
    const inZone = this.chosen.filter((other) => this.findZone(other) === zone);
    return zone === undefined ? 0 : inZone.length;
  }

  /**
   * Live hosts without a slot. Hosts that came back with an empty disk come first, since their former slot is certainly
   * lost.
   */
  private listSpares(): VoterSlotCandidate[] {
    const { candidates, liveMs, slots: current } = this.input;
    const holdsSlot = (host: types.VoterSlot) =>
      current.some((slot) => slot.voterId === host.voterId);
    const spares = candidates.filter(
      (host) => host.silentMs <= liveMs && host.isLeaving !== true && !holdsSlot(host),
    );
    const hadSlot = (host: types.VoterSlot) =>
      Number(current.some((slot) => slot.daemonId === host.daemonId));
    return spares.sort((a, b) => hadSlot(b) - hadSlot(a));
  }

  private wasRecreated(daemonId: string): boolean {
    return this.spares.some((host) => host.daemonId === daemonId);
  }

  private isUnavailable(slot: OccupiedVoterSlot): boolean {
    return slot.silentMs > this.input.replaceAfterMs || this.findHost(slot)?.isLeaving === true;
  }

  private findZone(host: types.VoterSlot): string | undefined {
    return this.findHost(host)?.availabilityZone;
  }

  private findHost({ voterId }: types.VoterSlot): VoterSlotCandidate | undefined {
    return this.input.candidates.find((host) => host.voterId === voterId);
  }
}
