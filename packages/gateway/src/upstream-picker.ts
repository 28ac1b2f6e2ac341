import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as upstreamDirectories from './upstream-directory.js';

/** What a caller is told to wait when no upstream of the service is known to live, in seconds. */
const RETRY_AFTER_S = 0.5;

/** What a generation is taken to fill on average where nothing is known of it, in tokens. */
const MEAN_TOKENS = 3_000;

/** The share of the most tokens that an answer has on average, where the caller gives no estimate. */
const MEAN_SHARE_OF_MOST = 0.5;

/** The upstream of one attempt. */
export interface PickedUpstream {
  readonly upstreamId: string;
  readonly known: upstreamDirectories.KnownUpstream;
  /** Its share of busy places or of memory when it was picked, for the log. */
  readonly share: number;
}

/** Picks the upstream of each attempt from what this host knows. */
export class UpstreamPicker {
  public constructor(
    private readonly directory: upstreamDirectories.UpstreamDirectory,
    private readonly availabilityZone: string,
    private readonly clock: schemas.Clock,
    private readonly random: () => number,
  ) {}

  /** Picks an upstream that was not tried yet, or refuses. */
  public pick(call: callAdmissions.AdmittedCall, tried: ReadonlySet<string>): PickedUpstream {
    const now = this.clock.now();
    const candidates = this.listCandidates(call.service, now).filter(
      (item) => !tried.has(item.upstreamId),
    );
    const isEngine = isGeneration(call);
    const choose = isEngine ? routing.chooseByMemory : routing.chooseByCalls;
    const chosen = choose(candidates, now, this.random);
    if (chosen === undefined) {
      throw this.refuse(call.service.name);
    }
    const { known, upstreamId } = chosen;
    const share = isEngine
      ? routing.getMemoryShare(chosen, now)
      : known.load.getBusy(now) / chosen.slots;
    return { upstreamId, known, share };
  }

  /** Picks the engine that keeps a copy of a call's generation while another runs it. */
  public pickCopyHolder(
    call: callAdmissions.AdmittedCall,
    runnerId: string,
  ): PickedUpstream | undefined {
    if (!isGeneration(call) || call.service.engine?.canBackUp !== true) {
      return undefined;
    }
    const now = this.clock.now();
    const totalTokens = getExpectedTokens(call);
    const answerTokens = totalTokens - (call.facts.generation?.promptTokens ?? 0);
    const candidates = this.listCandidates(call.service, now);
    const need = { answerTokens, totalTokens };
    const holder = routing.chooseCopyHolder(candidates, runnerId, need, now);
    return (
      holder && {
        upstreamId: holder.upstreamId,
        known: holder.known,
        share: routing.getMemoryShare(holder, now),
      }
    );
  }

  private listCandidates(service: schemas.RoutedService, now: number) {
    return this.directory
      .listLive(service.name)
      .map((known) => this.createCandidate(known, service, now));
  }

  private createCandidate(
    known: upstreamDirectories.KnownUpstream,
    service: schemas.RoutedService,
    now: number,
  ) {
    return {
      upstreamId: known.upstreamId,
      known,
      isNear: known.listed.availabilityZone === this.availabilityZone,
      isCold: known.coldUntil > now,
      slots: known.listed.slots,
      load: known.load,
      memoryTokens: service.engine?.memoryTokens ?? Infinity,
      meanTokens: MEAN_TOKENS,
    };
  }

  private refuse(service: string): schemas.Refusal {
    return new schemas.Refusal({
      id: 'noUpstream',
      step: 'pick',
      status: 503,
      outcome: 'not-run',
      args: [service, this.availabilityZone],
      retryAfterS: RETRY_AFTER_S,
    });
  }
}

function isGeneration({ facts, service }: callAdmissions.AdmittedCall): boolean {
  return facts.generation !== undefined && service.engine !== undefined;
}

/** The memory that a call is expected to fill on an engine, in tokens; 0 for calls that are no generations. */
export function getExpectedTokens({ facts }: callAdmissions.AdmittedCall): number {
  if (facts.generation === undefined) {
    return 0;
  }
  const { hintTokens, maxTokens, promptTokens } = facts.generation;
  return promptTokens + Math.min(hintTokens ?? maxTokens * MEAN_SHARE_OF_MOST, maxTokens);
}
