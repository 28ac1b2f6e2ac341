import * as brittleServices from './brittle-services.js';
import * as limitedSends from './limited-sends.js';
import type * as rateLimitTables from './rate-limit-table.js';
import * as rejectionGuards from './rejection-guard.js';
import * as upstreamErrors from './upstream-error.js';
import type * as upstreamNotices from './upstream-notice.js';
import * as upstreamRests from './upstream-rests.js';

/** Shortest time after which a refused caller may return, in milliseconds. */
const MIN_RETRY_MS = 100;

/** Longest time over which the return of callers is spread who are refused together, in milliseconds. */
const MAX_SPREAD_MS = 1_000;

/** Time for which a permit may be used, in milliseconds; a grant counts for the moment at which it is given. */
const PERMIT_TTL_MS = 250;

/** Maximum number of processes that leave which are kept; the oldest is dropped first. */
const MAX_LEAVING = 1_000;

/** An upstream process to which calls are sent. */
export interface GatedUpstream {
  readonly upstreamId: string;
  /** Identifies the process; by default, its upstream id. */
  readonly processId?: string;
  /** The service that it belongs to; without one it is never known to be brittle. */
  readonly service?: string | undefined;
}

/** An upstream process under the upstream's id. */
export type UpstreamProcess = Required<Pick<GatedUpstream, 'upstreamId' | 'processId'>>;

/** Dependencies of the gate. */
export interface UpstreamGateOptions extends limitedSends.LimitedSendsOptions {
  readonly random: () => number;
  /** Number of hosts that send to the same upstreams; `undefined` until it is known. */
  readonly countHosts?: (() => number | undefined) | undefined;
  /** Called when an upstream first states that it leaves. */
  readonly onLeaving?: (upstream: UpstreamProcess) => void;
}

/** A run that broke off and is to resume at an upstream. */
export interface ResumeAdmission {
  /** Time at which its call arrived, on this host's clock. */
  readonly arrivedAt: number;
  /** Time for which it may wait, in milliseconds. */
  readonly patienceMs: number;
  readonly signal: AbortSignal;
}

/** Why no upstream of several is open, and the time after which a caller may return, in seconds. */
export interface ClosedUpstreams {
  readonly reason: 'rate-limit' | 'rest';
  readonly retryAfterS: number;
}

/** Permission to send one call to an upstream process now. */
export class SendPermit {
  private isUsed = false;

  public constructor(
    public readonly processId: string,
    /** Whether it takes one of the sends that the limit of the upstream allows. */
    public readonly isLimited: boolean,
    /** Whether it holds at an upstream that leaves. */
    public readonly mayLeave: boolean,
    private readonly expiresAt: number,
  ) {}

  /** Uses the permit; returns false if it was used before or has expired. */
  public use(now: number): boolean {
    const isValid = !this.isUsed && now <= this.expiresAt;
    this.isUsed = true;
    return isValid;
  }
}

/**
 * What upstreams state about themselves in their answers, and whether a call may be sent to them. Every send of a host
 * passes here, whatever chose the upstream: a choice may be older than the last answer.
 */
export class UpstreamGate {
  private readonly limited: limitedSends.LimitedSends;
  private readonly rests: upstreamRests.UpstreamRests;
  private readonly brittle: brittleServices.BrittleServices;
  private readonly rejections: rejectionGuards.RejectionGuard;
  /** Times at which processes first stated that they leave. */
  private readonly leavingSince = new Map<string, number>();
  /** Ids of those whose process ids are their upstream ids, which a later process may have too. */
  private readonly leavingUpstreams = new Set<string>();

  public constructor(private readonly options: UpstreamGateOptions) {
    this.limited = new limitedSends.LimitedSends(options);
    this.rests = new upstreamRests.UpstreamRests(options.clock, options.log);
    this.brittle = new brittleServices.BrittleServices({
      ...options,
      report: (facts) => options.grantor.reportLimit(facts),
    });
    this.rejections = new rejectionGuards.RejectionGuard({
      ...options,
      countHosts: () => options.countHosts?.(),
    });
  }

  /** Records what an upstream states in an answer to a call. */
  public recordAnswer(upstream: GatedUpstream, notice: upstreamNotices.UpstreamNotice): void {
    this.limited.recordAnswer(getProcessId(upstream), notice.limit);
    if (upstream.service !== undefined) {
      const { maxRejectionsPerS } = notice;
      this.brittle.recordAnswer(upstream.service, getProcessId(upstream), maxRejectionsPerS);
    }
    this.recordRestAndLeaving(upstream, notice);
  }

  /**
   * Records what an upstream states in an answer to a probe. One that names no limit does not end a limit: an upstream
   * may name it to calls only, and probes are frequent.
   */
  public recordProbe(upstream: GatedUpstream, notice: upstreamNotices.UpstreamNotice): void {
    if (notice.limit.kind !== 'none') {
      this.limited.recordAnswer(getProcessId(upstream), notice.limit);
    }
    if (upstream.service !== undefined && notice.maxRejectionsPerS?.kind === 'named') {
      const { maxRejectionsPerS } = notice;
      this.brittle.recordAnswer(upstream.service, getProcessId(upstream), maxRejectionsPerS);
    }
    this.recordRestAndLeaving(upstream, notice);
  }

  /** Applies what other hosts have reported about limits. */
  public mergeLimits(all: readonly rateLimitTables.RateLimitFacts[]): void {
    all.forEach((facts) =>
      brittleServices.isBrittleFacts(facts) ? this.brittle.merge(facts) : this.limited.merge(facts),
    );
  }

  /** Applies which upstreams have stated to other hosts that they leave. */
  public mergeLeaving(upstreams: readonly GatedUpstream[]): void {
    upstreams.forEach((upstream) => this.addLeaving(upstream));
  }

  /**
   * Forgets that upstreams leave which are no longer listed, if a later process could not be told from theirs. Others
   * are kept, since the list may lack an upstream for a moment.
   */
  public forgetUnlisted(isListed: (upstreamId: string) => boolean): void {
    [...this.leavingUpstreams]
      .filter((upstreamId) => !isListed(upstreamId))
      .forEach((upstreamId) => {
        this.leavingUpstreams.delete(upstreamId);
        this.leavingSince.delete(upstreamId);
      });
  }

  /** Lists what this host knows about limits. */
  public listLimits(): rateLimitTables.RateLimitFacts[] {
    return [...this.limited.list(), ...this.brittle.list()];
  }

  /** Returns how many calls a second an upstream of a service may turn away; `undefined` if it is not brittle. */
  public findRejectionBound(service: string): number | undefined {
    return this.brittle.findBound(service);
  }

  /** Counts the services whose upstreams are brittle. */
  public countBrittle(): number {
    return this.brittle.count();
  }

  /** Records that an upstream has turned a call away. */
  public recordRejection(upstream: GatedUpstream): void {
    const { service } = upstream;
    const bound = service === undefined ? undefined : this.brittle.findBound(service);
    if (bound !== undefined) {
      this.rejections.recordRejection(getProcessId(upstream), bound);
    }
  }

  /** Counts the upstreams that limit their rate. */
  public countLimits(): number {
    return this.limited.count();
  }

  /** Counts the upstreams that have asked this host for rest. */
  public countRests(): number {
    return this.rests.count();
  }

  /** Counts the upstreams that have stated that they leave. */
  public countLeaving(): number {
    return this.leavingSince.size;
  }

  /** Returns whether an upstream has stated that it leaves. */
  public isLeaving(upstream: GatedUpstream): boolean {
    return this.leavingSince.has(getProcessId(upstream));
  }

  /** Returns whether no upstream is passed over for what it has stated. */
  public areAllOpen(): boolean {
    const isNoneResting = this.rests.count() === 0 && this.rejections.isEmpty();
    return this.limited.areAllOpen() && isNoneResting && this.leavingSince.size === 0;
  }

  /** Returns whether a call may be sent to an upstream now, as far as is known without a grant. */
  public isOpen(upstream: GatedUpstream): boolean {
    return !this.isLeaving(upstream) && this.getOpenAt(upstream) <= this.options.clock.now();
  }

  /** Returns why a caller is refused for whom none of these upstreams is open, and for how long. */
  public describeWait(upstreams: readonly GatedUpstream[]): ClosedUpstreams {
    const { clock, random } = this.options;
    const processIds = upstreams.filter((item) => !this.isLeaving(item)).map(getProcessId);
    const roomAt = Math.min(
      ...processIds.map((id) =>
        Math.max(this.limited.getRoomAt(id), this.rests.getEnd(id), this.rejections.getEnd(id)),
      ),
    );
    const waitMs =
      processIds.length === 0 ? MAX_SPREAD_MS : Math.max(MIN_RETRY_MS, roomAt - clock.now());
    // Equal times would bring all refused callers back at once.
    const spreadMs = Math.min(MAX_SPREAD_MS, waitMs) * random();
    const isResting = processIds.some((id) => this.rests.getEnd(id) >= roomAt);
    return {
      reason: isResting ? 'rest' : 'rate-limit',
      retryAfterS: (waitMs + spreadMs) / 1_000,
    };
  }

  /** Permits to send one call now; throws an error of the kind `withheld` if the upstream takes none. */
  public async admit(upstream: GatedUpstream): Promise<SendPermit> {
    if (this.isLeaving(upstream)) {
      throw this.withhold(upstream);
    }
    return this.admitAt(upstream, false);
  }

  /**
   * Waits until a run that broke off may resume at an upstream, at most for the given time in milliseconds. One that
   * leaves still takes it if the call arrived before it said so, since it may have the only copy of its state.
   */
  public async admitResume(
    upstream: GatedUpstream,
    { arrivedAt, patienceMs, signal }: ResumeAdmission,
  ): Promise<SendPermit> {
    const { clock } = this.options;
    const deadlineAt = clock.now() + patienceMs;
    const mayLeave = arrivedAt < (this.leavingSince.get(getProcessId(upstream)) ?? Infinity);
    for (;;) {
      try {
        return await (mayLeave ? this.admitAt(upstream, true) : this.admit(upstream));
      } catch (err) {
        const openAt = this.getOpenAt(upstream);
        if (!mayLeave || openAt > deadlineAt) {
          throw err;
        }
        await clock.sleep(Math.max(1, openAt - clock.now()), signal);
      }
    }
  }

  /**
   * Uses a permit at the moment of the send; throws an error of the kind `withheld` if it no longer holds, such as one
   * that was given before an answer named a limit.
   */
  public use(permit: SendPermit, upstream: GatedUpstream): void {
    const processId = getProcessId(upstream);
    const now = this.options.clock.now();
    const isForProcess = permit.processId === processId;
    const isResting = this.rests.getEnd(processId) > now;
    const isCounted = permit.isLimited || !this.limited.isLimited(processId);
    const isStaying = permit.mayLeave || !this.isLeaving(upstream);
    if (!permit.use(now) || !isForProcess || isResting || !isCounted || !isStaying) {
      throw this.withhold(upstream);
    }
  }

  private async admitAt(upstream: GatedUpstream, mayLeave: boolean): Promise<SendPermit> {
    const { clock } = this.options;
    const processId = getProcessId(upstream);
    if (this.getOpenAt(upstream) > clock.now() || !(await this.limited.take(processId))) {
      throw this.withhold(upstream);
    }
    const isLimited = this.limited.isLimited(processId);
    return new SendPermit(processId, isLimited, mayLeave, clock.now() + PERMIT_TTL_MS);
  }

  private recordRestAndLeaving(
    upstream: GatedUpstream,
    { isLeaving, rest }: upstreamNotices.UpstreamNotice,
  ): void {
    this.rests.recordAnswer(getProcessId(upstream), rest);
    if (isLeaving) {
      this.recordLeaving(upstream);
    }
  }

  private recordLeaving(upstream: GatedUpstream): void {
    const processId = getProcessId(upstream);
    if (this.addLeaving(upstream)) {
      this.options.onLeaving?.({ upstreamId: upstream.upstreamId, processId });
    }
  }

  /** Adds a process that leaves; returns whether it was not known to leave. */
  private addLeaving(upstream: GatedUpstream): boolean {
    const { clock, log } = this.options;
    const processId = getProcessId(upstream);
    if (this.leavingSince.has(processId)) {
      return false;
    }
    this.leavingSince.set(processId, clock.now());
    if (processId === upstream.upstreamId) {
      this.leavingUpstreams.add(processId);
    }
    if (this.leavingSince.size > MAX_LEAVING) {
      const [oldest] = this.leavingSince.keys();
      this.leavingSince.delete(oldest!);
      this.leavingUpstreams.delete(oldest!);
    }
    log.info({ event: 'upstream-leaving', upstream: processId });
    return true;
  }

  private getOpenAt(upstream: GatedUpstream): number {
    const processId = getProcessId(upstream);
    return Math.max(
      this.limited.getClosedUntil(processId),
      this.rests.getEnd(processId),
      this.rejections.getEnd(processId),
    );
  }

  private withhold({ upstreamId }: GatedUpstream): upstreamErrors.UpstreamError {
    this.options.count('withheld');
    return new upstreamErrors.UpstreamError('withheld', 'admit-send', upstreamId);
  }
}

function getProcessId({ processId, upstreamId }: GatedUpstream): string {
  return processId ?? upstreamId;
}
