import * as consensus from '@bramleyridge/consensus';
import * as schemas from '@bramleyridge/schemas';

import type * as coreTables from './core-host-registry.js';

/** How often the leader looks the seats over, in milliseconds. */
const SEATS_MS = 300;

/**
 * How long the holder of a seat may be silent before a spare host takes it, in milliseconds. A host that is gone for
 * good is no longer counted as lost 4 s after its stand-in started, so by then the stand-in must have the seat: 1.5 s of
 * silence, 0.3 s until it is looked over and under 0.1 s for the change leave two seconds for an election in between. A
 * process that is killed is back after 1 to 1.5 s. To take one for gone that returns costs a snapshot of 100 KB and two
 * entries of the log, and it stands by as a spare from then on; to wait for one that doesn't leaves the log one loss
 * from its end. In logs of the running programs a seat counts again 1.6 to 1.7 s after its holder was lost.
 */
const SEAT_PATIENCE_MS = 1_500;

/** Within which a host counts as live when seats are filled, in milliseconds: three greetings. */
const SEAT_LIVE_MS = 1_200;

/** For how long others go before a host that failed to catch up, in milliseconds. */
const AVOID_MS = 1_000;

/**
 * How long a host that is told to stop waits until its seat is given away, in milliseconds. A change takes under 0.1 s
 * and a newcomer that is silent is given up after 1.2 s; the deployments give 8 s before a process is killed.
 */
const LEAVE_MS = 2_500;

/** How often a host that leaves looks whether its seat is given away, in milliseconds. */
const LEAVE_POLL_MS = 20;

/** What keeping the seats needs. */
export interface MembershipManagerOptions {
  readonly coreId: string;
  readonly availabilityZone: string;
  readonly voterSlotCount: number;
  readonly registry: coreTables.CoreHostRegistry;
  readonly findVoter: () => consensus.Voter | undefined;
  /** Whether this host leads and a majority has lately confirmed it. */
  readonly isLeading: () => boolean;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** As the leader, gives the seats of hosts that are lost or leave to others; on any host, gives its own up when it stops. */
export class MembershipManager {
  /** Whether this host is about to stop and wants no seat. */
  public isLeaving = false;
  private notedSilent = '';
  private readonly avoidedUntil = new Map<string, number>();

  public constructor(private readonly options: MembershipManagerOptions) {}

  /** Looks the seats over until stopped. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, isLeading } = this.options;
    while (!signal.aborted) {
      const voter = this.options.findVoter();
      if (isLeading() && voter?.leadership !== undefined) {
        this.noteSilentSeats(voter.leadership);
        await this.reseat(voter, voter.leadership);
      }
      await clock.sleep(this.isLeaving ? LEAVE_POLL_MS : SEATS_MS, signal).catch(() => {});
    }
  }

  /**
   * Waits until this host's seat is given away, as far as there is somebody to take it. A host that stopped with its seat
   * would be a loss until it is back or taken for gone, and the next one could come before.
   */
  public async leave(): Promise<void> {
    const { clock, log } = this.options;
    this.isLeaving = true;
    const startedAt = clock.now();
    while (clock.now() - startedAt < LEAVE_MS && this.canGiveSeat()) {
      await clock.sleep(LEAVE_POLL_MS);
    }
    const voter = this.options.findVoter();
    const isSeated = voter !== undefined && isNeeded(voter);
    log.info({ event: 'seat-left', isSeated, tookMs: Math.round(clock.now() - startedAt) });
  }

  private canGiveSeat(): boolean {
    const voter = this.options.findVoter();
    if (voter === undefined || voter.stopped || voter.leader === undefined || !isNeeded(voter)) {
      return false;
    }
    const { former, seats } = voter.entries.getVoterSet();
    const isUnderWay = former !== undefined || !isIn(seats, voter);
    const spare = this.listLive().find((host) => host.isLeaving !== true && !isIn(seats, host));
    return isUnderWay || spare !== undefined;
  }

  private listLive(): consensus.VoterSlotCandidate[] {
    return this.options.registry.listCandidates().filter((host) => host.silentMs <= SEAT_LIVE_MS);
  }

  /** While a seat is silent the log bears one loss less; how many are left is what somebody on call needs first. */
  private noteSilentSeats(leadership: consensus.Leadership): void {
    const silent = leadership.listLaggingVoters().map((seat) => seat.daemonId);
    if (silent.join() === this.notedSilent) {
      return;
    }
    this.notedSilent = silent.join();
    const lossesBorne = leadership.countTolerableLosses();
    const hostsHeard = this.listLive().length;
    this.options.log.warn({ event: 'seats-silent', silent, lossesBorne, hostsHeard });
  }

  private async reseat(voter: consensus.Voter, leadership: consensus.Leadership): Promise<void> {
    const { clock, log } = this.options;
    let added: string[] = [];
    let removed: string[] = [];
    let newcomers: consensus.VoterSlot[] = [];
    try {
      await leadership.changeVoters((seats) => {
        const next = this.plan(voter, leadership, seats);
        if (next !== undefined) {
          newcomers = without(next, seats);
          added = newcomers.map((seat) => seat.daemonId);
          removed = without(seats, next).map((seat) => seat.daemonId);
          log.info({ decision: 'seat', peer: added.join(), instead: removed.join() });
        }
        return next;
      });
    } catch (err) {
      newcomers.forEach((seat) => this.avoidedUntil.set(seat.voterId, clock.now() + AVOID_MS));
      log.warn({ event: 'seat-repair-failed', err: schemas.toError(err).message });
      return;
    }
    if (added.length + removed.length > 0) {
      const lossesBorne = leadership.countTolerableLosses();
      log.info({ event: 'seated', peer: added.join(), instead: removed.join(), lossesBorne });
    }
  }

  private plan(
    voter: consensus.Voter,
    leadership: consensus.Leadership,
    seats: readonly consensus.VoterSlot[],
  ): readonly consensus.VoterSlot[] | undefined {
    const { availabilityZone, coreId, registry: table, voterSlotCount: wantedSeats } = this.options;
    const { isLeaving } = this;
    const own = {
      daemonId: coreId,
      voterId: voter.voterId,
      silentMs: 0,
      availabilityZone,
      isLeaving,
    };
    const candidates = [own, ...table.listCandidates()];
    const held = seats.map((seat) => ({
      ...seat,
      silentMs: this.getSilentMs(leadership, seat, candidates),
    }));
    return consensus.planVoterSlots({
      // The leader first: where there are too many to choose from it stays, and nobody has to be elected.
      slots: held.sort((a, b) => Number(isOf(b, own)) - Number(isOf(a, own))),
      candidates: candidates.filter((host) => !this.isAvoided(host)),
      slotCount: wantedSeats,
      replaceAfterMs: SEAT_PATIENCE_MS,
      liveMs: SEAT_LIVE_MS,
    });
  }

  /**
   * For how long a seat has held nothing new. A leader that has just risen has no answer of a host that died with the
   * one before, but may have been greeted by it last; without that the time that the election took would be lost.
   */
  private getSilentMs(
    leadership: consensus.Leadership,
    seat: consensus.VoterSlot,
    candidates: readonly consensus.VoterSlotCandidate[],
  ): number {
    const silentMs = leadership.getLagMs(seat);
    const greetedMs = candidates.find((host) => isOf(host, seat))?.silentMs ?? 0;
    return leadership.hasCaughtUp(seat) ? silentMs : Math.max(silentMs, greetedMs);
  }

  private isAvoided({ voterId }: consensus.VoterSlot): boolean {
    return this.options.clock.now() < (this.avoidedUntil.get(voterId) ?? -Infinity);
  }
}

/**
 * Whether the others still need this voter. A change that stands in its log alone, or is half done, may not be finished
 * by those that are left: gone in that moment, a leader left them with four votes of which two were lost.
 */
function isNeeded(voter: consensus.Voter): boolean {
  const { former = [], seats } = voter.entries.getVoterSetAt(voter.commitIndex);
  return isIn([...seats, ...former], voter);
}

function isIn(seats: readonly consensus.VoterSlot[], { voterId }: { readonly voterId: string }) {
  return seats.some((seat) => seat.voterId === voterId);
}

function isOf(some: consensus.VoterSlot, other: consensus.VoterSlot): boolean {
  return some.voterId === other.voterId;
}

function without(
  seats: readonly consensus.VoterSlot[],
  others: readonly consensus.VoterSlot[],
): consensus.VoterSlot[] {
  return seats.filter((seat) => !isIn(others, seat));
}
