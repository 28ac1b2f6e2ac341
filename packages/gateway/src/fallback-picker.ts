import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import * as generationCalls from './generation-calls.js';
import type * as pickedUpstreams from './picked-upstream.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** The Retry-After value if the service has no available upstream, in seconds. */
const RETRY_AFTER_S = 0.5;

/** Assumed mean memory use of a generation without further information, in tokens. */
const ASSUMED_MEAN_TOKENS = 3_000;

/** Dependencies of the fallback picker. */
export interface FallbackPickerOptions {
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly gate: requests.UpstreamGate;
  readonly availabilityZone: string;
  readonly coldSendQuota: routing.ColdSendQuota;
  /** Returns how many slots this host has at the upstreams of a service that are brittle; `undefined` if none is. */
  readonly findOwnedSlots?: (service: string) => ReadonlyMap<string, number> | undefined;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly random: () => number;
}

/** Picks upstreams by the state on this host, and refuses calls for which none is available. */
export class FallbackPicker {
  public constructor(private readonly options: FallbackPickerOptions) {}

  /**
   * Picks an upstream without the leader, by this host's own part of the load. No backups are kept then: it is not
   * known which backups other hosts keep where, and one backup too many costs more than it saves.
   */
  public pick(
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
  ): pickedUpstreams.PickedUpstream {
    const now = this.options.clock.now();
    const live = this.listCandidates(call, now);
    const untried = live.filter((item) => !tried.has(item.upstreamId));
    const open = untried.filter(({ known }) => this.options.gate.isOpen(known));
    if (live.length > 0 && live.every(({ known }) => !this.options.gate.isOpen(known))) {
      throw this.refuseClosed(
        call,
        live.map(({ known }) => known),
      );
    }
    const candidates = open.filter(({ known }) => this.mayReceiveCall(call.service, known, now));
    const isEngine = generationCalls.isGeneration(call);
    const choose = isEngine ? routing.chooseByMemory : routing.chooseByExpectedTime;
    // The last upstreams are tried even if none of them answers: a refusal would be no better.
    const proven = candidates.filter(({ load }) => load.trial.mayReceive(now));
    const chosen = choose(proven.length > 0 ? proven : candidates, now, this.options.random);
    if (chosen === undefined) {
      this.logNoUpstream(call, this.getNoUpstreamReason(call, untried.length, open.length));
      throw this.refuse('noUpstream', call.service.name, RETRY_AFTER_S);
    }
    const { known, upstreamId } = chosen;
    this.recordColdSend(call, known);
    const share = isEngine
      ? routing.getMemoryShare(chosen, now)
      : known.load.getActiveCalls(now) / chosen.slots;
    return { upstreamId, known, share, backupEngine: undefined, waitedMs: 0, isFallback: true };
  }

  /**
   * Returns whether this host may send a call to an upstream now; a cold one would crash under the calls of all hosts.
   */
  public mayReceiveCall(
    { coldCallsPerS }: schemas.RoutedService,
    known: upstreamDirectories.KnownUpstream,
    now: number,
  ): boolean {
    const { coldSendQuota } = this.options;
    const { upstreamId } = known;
    if (!this.hasOwnSlot(known, now)) {
      return false;
    }
    return (
      coldCallsPerS === undefined ||
      !isMaybeCold(known, now) ||
      coldSendQuota.canSend({ upstreamId, callsPerS: coldCallsPerS }, now)
    );
  }

  /** Returns whether this host may send one more call to an upstream, if that is brittle. */
  private hasOwnSlot(
    { load, service, upstreamId }: upstreamDirectories.KnownUpstream,
    now: number,
  ): boolean {
    const owned = this.options.findOwnedSlots?.(service);
    return owned === undefined || load.getActiveCalls(now) < (owned.get(upstreamId) ?? 0);
  }

  /** Counts a send to an upstream against this host's quota if the upstream is cold. */
  public recordColdSend(
    { service }: callAdmissions.AdmittedCall,
    known: upstreamDirectories.KnownUpstream,
  ): void {
    const { clock, coldSendQuota } = this.options;
    const now = clock.now();
    if (service.coldCallsPerS !== undefined && isMaybeCold(known, now)) {
      coldSendQuota.recordSend(known.upstreamId, now);
    }
  }

  /** Lists the upstreams that accept a call as far as the list and their own statements show. */
  public listUsable(
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
  ): upstreamDirectories.KnownUpstream[] {
    return this.listLive(call).filter(
      (known) => !tried.has(known.upstreamId) && this.options.gate.isOpen(known),
    );
  }

  /**
   * Lists the upstreams that get no further call of this host for a moment, since its last one got no answer; none if there
   * are no others.
   */
  public listUnanswering(
    call: callAdmissions.AdmittedCall,
    passedOver: readonly string[],
  ): string[] {
    const now = this.options.clock.now();
    const usable = this.listLive(call).filter(({ upstreamId }) => !passedOver.includes(upstreamId));
    const unanswering = usable.filter(({ load }) => !load.trial.mayReceive(now));
    return unanswering.length === usable.length
      ? []
      : unanswering.map(({ upstreamId }) => upstreamId);
  }

  /** Logs that a call is refused for lack of an upstream. */
  public logNoUpstream({ facts, service }: callAdmissions.AdmittedCall, reason: string): void {
    this.options.log.info({
      decision: 'no-upstream',
      request: facts.requestId,
      service: service.name,
      reason,
    });
  }

  /** Lists the upstreams that accept a call as far as the list shows. */
  public listLive({ regions, service }: callAdmissions.AdmittedCall) {
    return this.options.directory.listLive(service.name, regions);
  }

  /** Lists the upstreams that take no call now, by what they have stated themselves. */
  public listClosed({ service }: callAdmissions.AdmittedCall): upstreamDirectories.KnownUpstream[] {
    const { directory, gate } = this.options;
    return gate.areAllOpen()
      ? []
      : directory.listAll(service.name).filter((known) => !gate.isOpen(known));
  }

  /** Creates the refusal of a call for which no upstream is open. */
  public refuseClosed(
    call: callAdmissions.AdmittedCall,
    upstreams: readonly upstreamDirectories.KnownUpstream[],
  ): schemas.Refusal {
    const { reason, retryAfterS } = this.options.gate.describeWait(upstreams);
    this.logNoUpstream(call, reason);
    const id = reason === 'rest' ? 'resting' : 'rateLimited';
    return this.refuse(id, call.service.name, retryAfterS);
  }

  /** Creates the refusal of a call. */
  public refuse(
    id: 'noUpstream' | 'noRoom' | 'rateLimited' | 'resting',
    service: string,
    retryAfterS: number,
  ): schemas.Refusal {
    return new schemas.Refusal({
      id,
      step: 'pick',
      status: 503,
      outcome: 'not-run',
      args: [service, this.options.availabilityZone],
      retryAfterS,
    });
  }

  private getNoUpstreamReason(
    { service }: callAdmissions.AdmittedCall,
    untriedCount: number,
    openCount: number,
  ): string {
    if (this.options.directory.isServiceEvacuated(service.name)) {
      return 'evacuated';
    }
    const untried = openCount > 0 ? 'cold' : 'closed';
    return untriedCount > 0 ? untried : 'none-live';
  }

  private listCandidates(call: callAdmissions.AdmittedCall, now: number) {
    return this.listLive(call).map((known) => this.createCandidate(known, call.service, now));
  }

  private createCandidate(
    known: upstreamDirectories.KnownUpstream,
    service: schemas.RoutedService,
    now: number,
  ) {
    return {
      upstreamId: known.upstreamId,
      known,
      isSameZone: known.listed.availabilityZone === this.options.availabilityZone,
      isCold: known.coldUntil > now,
      slots: known.listed.slots,
      load: known.load,
      memoryTokens: service.engine?.memoryTokens ?? Infinity,
      meanTokens: ASSUMED_MEAN_TOKENS,
    };
  }
}

function isMaybeCold(
  { coldUntil, unlistedColdUntil }: upstreamDirectories.KnownUpstream,
  now: number,
): boolean {
  return Math.max(coldUntil, unlistedColdUntil) > now;
}
