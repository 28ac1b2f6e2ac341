import * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';

import type * as upstreamDirectories from './upstream-directory.js';

/** The leader's share of the calls per second that a cold upstream tolerates; the rest is for hosts without it. */
const LEADER_COLD_SHARE = 0.6;

/** Dependencies of `SchedulableUpstreams`. */
export interface SchedulableUpstreamsOptions {
  readonly clock: schemas.Clock;
  /** Returns a service of the configuration in force. */
  readonly findService: (name: string) => schemas.RoutedService | undefined;
  /** Returns the list of upstreams; undefined until this leader has read one. */
  readonly findUpstreams: () => readonly schemas.ListedUpstream[] | undefined;
  /** Returns whether an availability zone must get no new work; the revision changes with every such change. */
  readonly isEvacuated: (availabilityZone: string) => boolean;
  readonly getEvacuationRevision: () => number;
  /** Returns how many calls a second an upstream of a service may turn away; `undefined` if it is not brittle. */
  readonly findRejectionBound?: (service: string) => number | undefined;
}

interface CachedService {
  readonly listed: readonly schemas.ListedUpstream[];
  readonly evacuationRevision: number;
  readonly coldCallsPerS: number | undefined;
  readonly maxRejectionsPerS: number | undefined;
  readonly upstreams: readonly scheduling.SchedulableUpstream[];
}

/** The upstreams of plain services that take calls, from the leader's list. */
export class SchedulableUpstreams {
  private readonly cache = new Map<string, CachedService>();

  public constructor(private readonly options: SchedulableUpstreamsOptions) {}

  /**
   * Returns the upstreams of a plain service, as the same array until something changes; undefined if the service is not
   * a plain one, or no list has been read.
   */
  public find(service: string): readonly scheduling.SchedulableUpstream[] | undefined {
    const { findService, findUpstreams, getEvacuationRevision } = this.options;
    const facts = findService(service);
    const listed = findUpstreams();
    if (facts === undefined || facts.engine !== undefined || listed === undefined) {
      return undefined;
    }
    const { coldCallsPerS } = facts;
    const evacuationRevision = getEvacuationRevision();
    const maxRejectionsPerS = this.options.findRejectionBound?.(service);
    const cached = this.cache.get(service);
    const isSame =
      cached?.listed === listed &&
      cached.evacuationRevision === evacuationRevision &&
      cached.maxRejectionsPerS === maxRejectionsPerS &&
      cached.coldCallsPerS === coldCallsPerS;
    if (isSame) {
      return cached.upstreams;
    }
    const upstreams = this.create(service, listed, coldCallsPerS).map((upstream) => ({
      ...upstream,
      maxRejectionsPerS,
    }));
    const key = { listed, evacuationRevision, coldCallsPerS, maxRejectionsPerS };
    this.cache.set(service, { ...key, upstreams });
    return upstreams;
  }

  private create(
    service: string,
    listed: readonly schemas.ListedUpstream[],
    coldCallsPerS: number | undefined,
  ): scheduling.SchedulableUpstream[] {
    const now = this.options.clock.now();
    return listed
      .filter((item) => item.service === service && !item.isLeaving && item.saysLeaving !== true)
      .filter((item) => !this.options.isEvacuated(item.availabilityZone))
      .map((item) => ({
        upstreamId: item.upstreamId,
        processId: schemas.getProcessId(item),
        availabilityZone: item.availabilityZone,
        slots: item.slots,
        coldUntil: now + item.coldMs,
        coldCallsPerS: coldCallsPerS && Math.max(1, Math.floor(coldCallsPerS * LEADER_COLD_SHARE)),
      }));
  }
}

/** What a host that schedules alone knows besides its list. */
export interface HostSchedule {
  /** Number of calls a second that an upstream may turn away; `undefined` if the service is not brittle. */
  readonly maxRejectionsPerS: number | undefined;
  /** The place of this host among all hosts; `undefined` until a leader has told it. */
  readonly place: scheduling.HostPlace | undefined;
}

/**
 * Returns the slots that a host without a leader has at each upstream of a brittle service; `undefined` if the service is
 * not brittle. A host that doesn't know its place has none.
 */
export function findOwnedSlots(
  directory: upstreamDirectories.UpstreamDirectory,
  service: string,
  { maxRejectionsPerS, place }: HostSchedule,
): ReadonlyMap<string, number> | undefined {
  if (maxRejectionsPerS === undefined) {
    return undefined;
  }
  const upstreams = directory
    .listLive(service)
    .map(({ listed, upstreamId }) => ({ upstreamId, slots: listed.slots }));
  return place === undefined ? new Map() : scheduling.getOwnedSlots(upstreams, place, Date.now());
}

/** Returns the upstreams of a service that a host may use itself; undefined if it has no list. */
export function findOnHost(
  directory: upstreamDirectories.UpstreamDirectory,
  service: string,
  schedule: HostSchedule = { maxRejectionsPerS: undefined, place: undefined },
): readonly scheduling.SchedulableUpstream[] | undefined {
  if (!directory.hasList()) {
    return undefined;
  }
  const { maxRejectionsPerS } = schedule;
  const owned = findOwnedSlots(directory, service, schedule);
  return directory
    .listLive(service)
    .filter(({ upstreamId }) => owned === undefined || owned.has(upstreamId))
    .map(({ coldUntil, listed, processId, unlistedColdUntil, upstreamId }) => ({
      upstreamId,
      processId,
      availabilityZone: listed.availabilityZone,
      slots: listed.slots,
      coldUntil: Math.max(coldUntil, unlistedColdUntil),
      maxRejectionsPerS,
      ownedSlots: owned?.get(upstreamId),
    }));
}
