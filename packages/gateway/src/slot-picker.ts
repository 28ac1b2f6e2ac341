import type * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as fallbackPickers from './fallback-picker.js';
import * as generationCalls from './generation-calls.js';
import type * as pickedUpstreams from './picked-upstream.js';
import type * as slotClients from './slot-client.js';
import type * as upstreamDirectories from './upstream-directory.js';

/**
 * Maximum number of upstreams that are assigned to one call but can't be used by this host; its list is at most seconds
 * older than the leader's.
 */
const MAX_UNUSABLE = 3;

/** The Retry-After value if the refusal names none, in milliseconds; the list of upstreams changes within it. */
const RETRY_AFTER_MS = 500;

/** Dependencies of the slot picker. */
export interface SlotPickerOptions {
  readonly slots: slotClients.SlotSource;
  readonly fallback: fallbackPickers.FallbackPicker;
  readonly directory: upstreamDirectories.UpstreamDirectory;
  readonly gate: requests.UpstreamGate;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/** Picks the upstream of each attempt of a plain call by the slot that the call gets. */
export class SlotPicker {
  public constructor(private readonly options: SlotPickerOptions) {}

  /** Waits for a slot at an upstream that has not been tried yet, or throws a refusal. */
  public async pick(
    call: callAdmissions.AdmittedCall,
    tried: ReadonlySet<string>,
    signal: AbortSignal | undefined,
  ): Promise<pickedUpstreams.PickedUpstream> {
    const { fallback, slots } = this.options;
    const passedOver = new Set(tried);
    for (let unusable = 0; unusable < MAX_UNUSABLE; unusable += 1) {
      const usable = fallback.listUsable(call, passedOver);
      if (usable.length === 0) {
        return fallback.pick(call, passedOver);
      }
      const decision = await slots.request(this.createAsk(call, passedOver, usable), signal);
      if (decision.slot === undefined) {
        throw this.refuse(call, decision);
      }
      const { expectedMs, slot, slowdown, waitedMs } = decision;
      const known = this.findUsable(call, slot.upstreamId);
      if (known !== undefined) {
        if (slot.isAlone) {
          fallback.recordColdSend(call, known);
        }
        const picked = this.createPicked(known, waitedMs);
        return { ...picked, isFallback: slot.isAlone, slot, expectedMs, slowdown };
      }
      slot.releaseUnused();
      passedOver.add(slot.upstreamId);
    }
    fallback.logNoUpstream(call, 'unusable');
    throw fallback.refuse('noUpstream', call.service.name, RETRY_AFTER_MS / 1_000);
  }

  private createAsk(
    call: callAdmissions.AdmittedCall,
    passedOver: ReadonlySet<string>,
    usable: readonly upstreamDirectories.KnownUpstream[],
  ): slotClients.SlotAsk {
    const { clock, directory, fallback } = this.options;
    const now = clock.now();
    const { name } = call.service;
    const unusable = directory
      .listAll(name)
      .filter((known) => !usable.includes(known))
      .map(({ upstreamId }) => upstreamId);
    return {
      requestId: call.facts.requestId,
      service: name,
      team: call.team?.name,
      priority: generationCalls.getPriority(call),
      dueInMs: call.arrivedAt + call.route.targetMs - now,
      leftMs: call.endsAt - now,
      excluded: [...new Set([...passedOver, ...unusable, ...directory.listUnusable(name)])],
      excludedAlone: usable
        .filter((known) => !fallback.mayReceiveCall(call.service, known, now))
        .map(({ upstreamId }) => upstreamId),
    };
  }

  private createPicked(known: upstreamDirectories.KnownUpstream, waitedMs: number) {
    const share = known.load.getActiveCalls(this.options.clock.now()) / known.listed.slots;
    return { upstreamId: known.upstreamId, known, share, backupEngine: undefined, waitedMs };
  }

  /** Returns the upstream of a slot; undefined if it is not listed here or takes no call. */
  private findUsable(
    { regions }: callAdmissions.AdmittedCall,
    upstreamId: string,
  ): upstreamDirectories.KnownUpstream | undefined {
    const { directory, gate } = this.options;
    const known = directory.find(upstreamId);
    const isUsable =
      known !== undefined && directory.isPlacementAllowed(known, regions) && gate.isOpen(known);
    return isUsable ? known : undefined;
  }

  private refuse(
    call: callAdmissions.AdmittedCall,
    {
      reason,
      retryAfterMs = RETRY_AFTER_MS,
      waitedMs,
    }: Extract<slotClients.SlotDecision, { slot: undefined }>,
  ): schemas.Refusal {
    this.options.log.info({
      decision: 'no-slot',
      request: call.facts.requestId,
      service: call.service.name,
      reason,
      waitedMs,
      retryAfterMs,
    });
    const id = reason === 'no-upstream' ? 'noUpstream' : 'noRoom';
    return this.options.fallback.refuse(id, call.service.name, retryAfterMs / 1_000);
  }
}
