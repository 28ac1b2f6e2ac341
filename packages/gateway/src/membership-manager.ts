import * as consensus from '@bramleyridge/consensus';
import * as schemas from '@bramleyridge/schemas';

import type * as coreHostRegistries from './core-host-registry.js';

/** Interval at which the leader checks the voter slots, in milliseconds. */
const CHECK_INTERVAL_MS = 300;

/**
 * Time for which a voter may be silent before a spare host replaces it, in milliseconds. A host that is lost
 * permanently no longer counts as lost 4 s after its replacement has started, so by then the replacement must be a
 * voter: 1.5 s of silence, 0.3 s until the next check and under 0.1 s for the membership change leave two seconds for
 * an election in between. A killed process is back after 1 to 1.5 s. Replacing a host that returns costs a snapshot of
 * 100 KB and two log entries, and the host becomes a spare; waiting for one that does not return leaves a group that
 * the next loss may stop. In the logs of running deployments, a slot is filled 1.6 to 1.7 s after its voter was lost.
 */
const REPLACE_AFTER_MS = 1_500;

/** Time since its last announcement within which a host counts as live, in milliseconds: three announcements. */
const LIVE_MS = 1_200;

/** Time for which a host that failed to catch up is not chosen, in milliseconds; other spares are tried meanwhile. */
const SKIP_FAILED_MS = 1_000;

/**
 * Time for which a stopping host waits until another host has its voter slot, in milliseconds. A membership change
 * takes under 0.1 s, and a new voter that is silent is given up after 1.2 s; deployments allow 8 s before a process is
 * killed.
 */
const LEAVE_TIMEOUT_MS = 2_500;

/** Interval at which a leaving host checks whether its voter slot is handed over, in milliseconds. */
const LEAVE_POLL_INTERVAL_MS = 20;

/** Options of `MembershipManager`. */
export interface MembershipManagerOptions {
  readonly coreId: string;
  readonly availabilityZone: string;
  readonly voterSlotCount: number;
  readonly registry: coreHostRegistries.CoreHostRegistry;
  readonly findVoter: () => consensus.Voter | undefined;
  /** Returns whether this host leads and a majority has recently confirmed it. */
  readonly isLeading: () => boolean;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * On the leader, replaces voters that are lost or leaving by spare hosts; on any host, gives up its own voter slot before a stop.
 */
export class MembershipManager {
  /** Whether this host is about to stop and must not become or stay a voter. */
  public isLeaving = false;
  private loggedSilent = '';
  private readonly skippedUntil = new Map<string, number>();

  public constructor(private readonly options: MembershipManagerOptions) {}

  /** Checks the voter slots at a fixed interval until stopped. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.options;
    while (!signal.aborted) {
      await schemas.runRound(() => this.checkVoters(), { log, step: 'check-seats' });
      await clock
        .sleep(this.isLeaving ? LEAVE_POLL_INTERVAL_MS : CHECK_INTERVAL_MS, signal)
        .catch(() => {});
    }
  }

  private async checkVoters(): Promise<void> {
    const voter = this.options.findVoter();
    if (this.options.isLeading() && voter?.leadership !== undefined) {
      this.logSilentVoters(voter.leadership);
      await this.replaceVoters(voter, voter.leadership);
    }
  }

  /**
   * Waits until this host is no longer a voter, as long as a spare can take its slot. A host that stopped as a voter
   * would count as lost until it is back or replaced, and another loss could occur before that.
   */
  public async leave(): Promise<void> {
    const { clock, log } = this.options;
    this.isLeaving = true;
    const startedAt = clock.now();
    while (clock.now() - startedAt < LEAVE_TIMEOUT_MS && this.canHandOverSlot()) {
      await clock.sleep(LEAVE_POLL_INTERVAL_MS);
    }
    const voter = this.options.findVoter();
    const isSeated = voter !== undefined && isNeeded(voter);
    log.info({ event: 'seat-left', isSeated, tookMs: Math.round(clock.now() - startedAt) });
  }

  private canHandOverSlot(): boolean {
    const voter = this.options.findVoter();
    if (voter === undefined || voter.stopped || voter.leader === undefined || !isNeeded(voter)) {
      return false;
    }
    const { former, seats: slots } = voter.entries.getVoterSet();
    const isChanging = former !== undefined || !isIn(slots, voter);
    const spare = this.listLive().find((host) => host.isLeaving !== true && !isIn(slots, host));
    return isChanging || spare !== undefined;
  }

  private listLive(): consensus.VoterSlotCandidate[] {
    return this.options.registry.listCandidates().filter((host) => host.silentMs <= LIVE_MS);
  }

  /**
   * Logs the silent voters and how many more losses the group tolerates. Each silent voter lowers that number, which is
   * what operators need to know first.
   */
  private logSilentVoters(leadership: consensus.Leadership): void {
    const silent = leadership.listLaggingVoters().map((slot) => slot.daemonId);
    if (silent.join() === this.loggedSilent) {
      return;
    }
    this.loggedSilent = silent.join();
    const lossesBorne = leadership.countTolerableLosses();
    const hostsHeard = this.listLive().length;
    this.options.log.warn({ event: 'seats-silent', silent, lossesBorne, hostsHeard });
  }

  private async replaceVoters(
    voter: consensus.Voter,
    leadership: consensus.Leadership,
  ): Promise<void> {
    const { clock, log } = this.options;
    let added: string[] = [];
    let removed: string[] = [];
    let newVoters: consensus.VoterSlot[] = [];
    try {
      await leadership.changeVoters((slots) => {
        const next = this.plan(voter, leadership, slots);
        if (next !== undefined) {
          newVoters = without(next, slots);
          added = newVoters.map((slot) => slot.daemonId);
          removed = without(slots, next).map((slot) => slot.daemonId);
          log.info({ decision: 'seat', peer: added.join(), instead: removed.join() });
        }
        return next;
      });
    } catch (err) {
      newVoters.forEach((slot) =>
        this.skippedUntil.set(slot.voterId, clock.now() + SKIP_FAILED_MS),
      );
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
    slots: readonly consensus.VoterSlot[],
  ): readonly consensus.VoterSlot[] | undefined {
    const { availabilityZone, coreId, registry, voterSlotCount } = this.options;
    const { isLeaving } = this;
    const own = {
      daemonId: coreId,
      voterId: voter.voterId,
      silentMs: 0,
      availabilityZone,
      isLeaving,
    };
    const candidates = [own, ...registry.listCandidates()];
    const withSilence = slots.map((slot) => ({
      ...slot,
      silentMs: this.getSilentMs(leadership, slot, candidates),
    }));
    return consensus.planVoterSlots({
      // The leader is first: if there are more voters than slots it stays, and no election is needed.
      slots: withSilence.sort((a, b) => Number(isOf(b, own)) - Number(isOf(a, own))),
      candidates: candidates.filter((host) => !this.isSkipped(host)),
      slotCount: voterSlotCount,
      replaceAfterMs: REPLACE_AFTER_MS,
      liveMs: LIVE_MS,
    });
  }

  /**
   * Returns the time for which a voter has not held new entries, in milliseconds. A newly elected leader has no
   * answer yet from a voter that was lost before the election, but may have its last announcement. Without that, the
   * silence during the election would not count.
   */
  private getSilentMs(
    leadership: consensus.Leadership,
    slot: consensus.VoterSlot,
    candidates: readonly consensus.VoterSlotCandidate[],
  ): number {
    const silentMs = leadership.getLagMs(slot);
    const sinceAnnouncementMs = candidates.find((host) => isOf(host, slot))?.silentMs ?? 0;
    return leadership.hasCaughtUp(slot) ? silentMs : Math.max(silentMs, sinceAnnouncementMs);
  }

  private isSkipped({ voterId }: consensus.VoterSlot): boolean {
    return this.options.clock.now() < (this.skippedUntil.get(voterId) ?? -Infinity);
  }
}

/**
 * Returns whether the group still needs this voter. The remaining voters may not be able to finish a membership change that is
 * only in this voter's log or still in progress: a leader that stopped at that moment left them with four voters, two
 * of which were lost.
 */
function isNeeded(voter: consensus.Voter): boolean {
  const { former = [], seats: slots } = voter.entries.getVoterSetAt(voter.commitIndex);
  return isIn([...slots, ...former], voter);
}

function isIn(slots: readonly consensus.VoterSlot[], { voterId }: { readonly voterId: string }) {
  return slots.some((slot) => slot.voterId === voterId);
}

function isOf(some: consensus.VoterSlot, other: consensus.VoterSlot): boolean {
  return some.voterId === other.voterId;
}

function without(
  slots: readonly consensus.VoterSlot[],
  others: readonly consensus.VoterSlot[],
): consensus.VoterSlot[] {
  return slots.filter((slot) => !isIn(others, slot));
}
