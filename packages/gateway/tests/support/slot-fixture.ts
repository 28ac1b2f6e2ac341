import type * as scheduling from '@bramleyridge/scheduling';
import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';

import * as callSchedulingServices from '../../src/call-scheduling-service.js';
import * as slotClients from '../../src/slot-client.js';
import type * as slotMessages from '../../src/slot-messages.js';
import * as slotReporters from '../../src/slot-reporter.js';
import * as teamCallCounters from '../../src/team-call-counter.js';

/** Time that a message takes between hosts, in milliseconds. */
const HOP_MS = 2;

/** Procedures of a core host that the slot client uses. */
type Procedure = 'requestSlot' | 'releaseSlot' | 'reportSlots';

/** Core hosts and slot clients of entry hosts on virtual time, with messages that may be lost. */
export class SlotFixture {
  public readonly clock = new schemas.VirtualClock();
  public leader: string | undefined = 'core-1';
  /** Core hosts that receive no message. */
  public readonly silent = new Set<string>();
  /** Procedures whose requests are lost, and those whose answers are. */
  public readonly lostRequests = new Set<Procedure>();
  public readonly lostAnswers = new Set<Procedure>();
  /** Additional time that requests of a procedure take, in milliseconds. */
  public readonly delayMs: Partial<Record<Procedure, number>> = {};
  /** Requests that core hosts received, as `procedure host`. */
  public readonly received: string[] = [];
  public readonly events: string[] = [];
  /** Log lines of core hosts. */
  public readonly coreLines: object[] = [];
  public readonly metrics = new telemetry.TextMetrics();
  public upstreams: readonly scheduling.SchedulableUpstream[] | undefined = [createUpstream('u1')];
  /** Upstreams that the list of entry hosts has; by default that of the leader. */
  public hostUpstreams: readonly scheduling.SchedulableUpstream[] | undefined;
  private readonly services = new Map<string, callSchedulingServices.CallSchedulingService>();

  /** Returns the scheduler of a core host. */
  public getCore(coreId: string): callSchedulingServices.CallSchedulingService {
    const service =
      this.services.get(coreId) ??
      new callSchedulingServices.CallSchedulingService({
        clock: this.clock,
        log: new schemas.SilentLog(),
        findUpstreams: () => this.upstreams,
        getWeight: () => 1,
        random: () => 0.5,
        observer: new slotReporters.SlotReporter({
          calls: new teamCallCounters.TeamCallCounter(this.metrics),
          getWeight: (team) => (team === 'x' ? 3 : 1),
          log: {
            ...new schemas.SilentLog(),
            info: (fields: object) => this.coreLines.push(fields),
          } as never,
        }),
      });
    this.services.set(coreId, service);
    return service;
  }

  /** Counts the calls that hold slots by the ledger of a core host. */
  public countRunning(coreId: string): number {
    return this.getCore(coreId)
      .listSummaries()
      .reduce((sum, { summary }) => sum + summary.running, 0);
  }

  /** Creates the client of an entry host. */
  public createClient(hostId = 'h1', incarnation = 'i1', entryHosts = 4): slotClients.SlotClient {
    const { clock } = this;
    const log = new schemas.SilentLog();
    const record = ({ event }: { event?: string }) => this.events.push(event ?? '');
    return new slotClients.SlotClient({
      hostId,
      incarnation,
      availabilityZone: 'a',
      mesh: { get: (coreId: string) => this.createApi(coreId) } as never,
      findLeader: () => this.leader,
      local: new callSchedulingServices.CallSchedulingService({
        clock,
        log: new schemas.SilentLog(),
        findUpstreams: () => this.hostUpstreams ?? this.upstreams,
        getWeight: () => 1,
        random: () => 0.5,
        getLimitShare: () => 1 / entryHosts,
      }),
      clock,
      metrics: this.metrics,
      log: { ...log, debug: () => {}, warn: () => {}, info: record } as never,
    });
  }

  private createApi(coreId: string) {
    const core = this.getCore(coreId);
    return {
      requestSlot: this.createProcedure(coreId, 'requestSlot', (req: slotMessages.SlotReq) =>
        core.requestOrQueue(req),
      ),
      releaseSlot: this.createProcedure(
        coreId,
        'releaseSlot',
        async (req: slotMessages.SlotRelease) => core.release(req),
      ),
      reportSlots: this.createProcedure(
        coreId,
        'reportSlots',
        async (req: slotMessages.SlotReport) => core.report(req),
      ),
    };
  }

  private createProcedure<Q, S>(coreId: string, name: Procedure, handle: (req: Q) => Promise<S>) {
    const send = async (req: Q): Promise<S> => {
      await this.clock.sleep(HOP_MS + (this.delayMs[name] ?? 0));
      if (this.silent.has(coreId) || this.lostRequests.has(name)) {
        return new Promise(() => {});
      }
      const { callId, hostId } = req as { callId?: string; hostId?: string };
      this.received.push(`${name} ${callId?.split('~')[0] ?? hostId ?? ''}`);
      const res = await handle(req);
      await this.clock.sleep(HOP_MS);
      return this.lostAnswers.has(name) ? new Promise(() => {}) : res;
    };
    const mutate = async (req: Q, options?: { context: { deadlineMs: number } }): Promise<S> => {
      const { deadlineMs } = options?.context ?? { deadlineMs: 500 };
      const expiry = this.clock.sleep(deadlineMs).then(() => {
        throw new Error('no answer');
      });
      return Promise.race([send(req), expiry]);
    };
    return { mutate };
  }
}

/** Creates an upstream of a plain service. */
export function createUpstream(
  upstreamId: string,
  overrides: Partial<scheduling.SchedulableUpstream> = {},
): scheduling.SchedulableUpstream {
  const facts = { availabilityZone: 'a', slots: 1, coldUntil: 0 };
  return { upstreamId, processId: upstreamId, ...facts, ...overrides };
}

/** Creates what a call asks for. */
export function createAsk(
  requestId: string,
  overrides: Partial<slotClients.SlotAsk> = {},
): slotClients.SlotAsk {
  return {
    requestId,
    service: 'app',
    team: 'x',
    priority: 0,
    dueInMs: 400,
    leftMs: 2_000,
    excluded: [],
    excludedAlone: [],
    ...overrides,
  };
}
