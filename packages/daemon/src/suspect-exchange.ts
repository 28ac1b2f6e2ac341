import * as members from '@bramleyridge/members';
import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

import * as exitRegistries from './exit-registry.js';
import type * as peerMeshes from './peer-mesh.js';
import * as peerRouters from './peer-router.js';

/** Timeout of a report to another daemon, in milliseconds: a daemon that is busy for that long misses it. */
const REPORT_TIMEOUT_MS = 500;

/** Timeout of a request for a permit, in milliseconds: only the few calls that may be trials wait for it. */
const PERMIT_TIMEOUT_MS = 500;

/** Time for which a report is repeated to a daemon that does not answer, and the pause in between, in milliseconds. */
const MAX_REPORT_MS = 10_000;
const RETRY_PAUSE_MS = 200;

/** Number of daemons that a daemon asks for their suspects when it starts. */
const MAX_ASKED = 3;

/** Interval at which a daemon that starts looks for others, and the time after which it stops, in milliseconds. */
const START_CHECK_MS = 100;
const MAX_START_MS = 10_000;

/** Dependencies of the suspect exchange. */
export interface SuspectExchangeOptions {
  readonly cfg: Pick<schemas.DaemonConfig, 'availabilityZone' | 'daemonId' | 'peers'>;
  readonly view: members.ZoneView;
  readonly mesh: Pick<peerMeshes.PeerMesh, 'get'>;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
}

/**
 * Shares the calls and parts of prompts during whose runs upstreams exited among all daemons: each tells those of its
 * zone, and one of each other zone's daemons, which tell theirs. Facts merge in any order, so that no daemon is needed.
 * Only sends of what is quarantined are counted by one daemon of the zone, chosen by hash.
 */
export class SuspectExchange implements requests.SuspectSharing {
  public readonly ledger = new routing.CrashLedger();
  public readonly exits = new exitRegistries.ExitRegistry();
  private readonly faults: schemas.EntryFaultLog;
  private isStopped = false;

  public constructor(private readonly options: SuspectExchangeOptions) {
    this.faults = new schemas.EntryFaultLog(options.log, 'suspect-list-unreadable');
  }

  /** Asks other daemons of the zone for their suspects, once at the start. */
  public async run(): Promise<void> {
    const { clock } = this.options;
    const endsAt = clock.now() + MAX_START_MS;
    while (!this.isStopped && clock.now() < endsAt) {
      const asked = this.listZone().slice(0, MAX_ASKED);
      const answers = await Promise.all(
        asked.map((id) =>
          this.send(id, async (peer, context) =>
            this.readFacts(id, await peer.listSuspects.mutate(undefined, { context })),
          ),
        ),
      );
      answers.forEach((facts) => this.ledger.merge(this.translate(facts ?? []), clock.now()));
      if (answers.some((facts) => facts !== undefined)) {
        return;
      }
      await clock.sleep(START_CHECK_MS);
    }
  }

  /** Stops all repetitions. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Returns all suspects, for a daemon that starts. */
  public list(): routing.SuspectFacts[] {
    return this.ledger.listSuspects();
  }

  /** Tells the other daemons about the outcome of a run that this daemon has recorded. */
  public report(run: routing.SuspectRun): void {
    this.tell({ runs: [run], facts: [] });
  }

  /** Tells the other daemons about the current facts of suspects. */
  public share(digests: readonly string[]): void {
    const facts = digests.flatMap((digest) => this.ledger.find(digest) ?? []);
    this.tell({ runs: [], facts });
  }

  /** Requests a permit from the daemon that counts the sends of a suspect; undefined if it does not answer. */
  public async requestPermit({
    digest,
    mayShare,
    processId,
  }: Parameters<requests.SuspectSharing['requestPermit']>[0]): Promise<routing.Permit | undefined> {
    const { cfg, view } = this.options;
    const { availabilityZone, members: listed } = view.getDirectory();
    const owner = members.findSuspectOwner(availabilityZone, digest, listed)?.daemonId;
    const permitId = `${cfg.daemonId}/${schemas.getContentHash([processId, Math.random()])}`;
    const req = { digest, processId, mayShare, permitId, facts: this.ledger.find(digest) };
    if (owner === undefined || owner === cfg.daemonId) {
      return this.permit(req);
    }
    const context = { deadlineMs: PERMIT_TIMEOUT_MS };
    return this.send(owner, async (peer) =>
      schemas.parse(
        peerRouters.suspectPermit,
        await peer.permitSuspect.mutate(req, { context }),
        'read-permit',
      ),
    );
  }

  /** Decides whether a suspect may be sent, as the daemon that counts its sends. */
  public permit(req: peerRouters.SuspectPermitReq): routing.Permit {
    const { clock, log } = this.options;
    const { digest, facts, mayShare, permitId, processId } = req;
    if (facts !== undefined) {
      this.ledger.merge(this.translate([facts]), clock.now());
    }
    const chances = this.ledger.find(digest)?.chances;
    const permit = this.ledger.permit(digest, processId, mayShare, clock.now(), permitId);
    log.info({ decision: 'suspect-permit', digest, upstream: processId, permitId, ...permit });
    if (this.ledger.find(digest)?.chances !== chances) {
      this.share([digest]);
    }
    return permit;
  }

  /** Records what another daemon has told, and passes on to this zone what came from another one. */
  public receive(report: peerRouters.SuspectReport): void {
    const { cfg, clock, log } = this.options;
    const now = clock.now();
    report.runs.forEach((run) => {
      this.record(run, now);
      log.info({ decision: 'suspect', kind: run.kind, digest: run.digest, peer: report.daemonId });
    });
    const facts = this.translate(report.facts);
    const cleared = facts.filter((item) => this.ledger.isCleared(item));
    this.ledger.merge(facts, now);
    if (cleared.length > 0) {
      const runs = cleared.map(({ digest }) => ({ kind: 'served', digest }) as const);
      this.sendReport(report.daemonId, this.createReport({ runs, facts: [] }));
    }
    if (report.availabilityZone !== cfg.availabilityZone && !report.isPassedOn) {
      this.listZone().forEach((id) => this.sendReport(id, { ...report, isPassedOn: true }));
    }
  }

  private record(run: routing.SuspectRun, now: number): void {
    if (run.kind === 'ended') {
      this.ledger.recordProcessEnd(run.digest, this.translateEnd(run.end), now);
    } else if (run.kind === 'served') {
      this.ledger.clear(run.digest);
    } else {
      this.ledger.recordInconclusiveRun(run.digest, run.processId);
    }
  }

  /** Reads the suspects that another daemon has listed one by one; throws if they are no list. */
  private readFacts(peer: string, answer: unknown): routing.SuspectFacts[] {
    const listed = schemas.parse(z.array(z.unknown()), answer, 'read-suspects');
    const read = schemas.parseEntries(routing.suspectFacts, listed);
    this.faults.record(peer, read);
    return read.entries;
  }

  /** Returns facts that another daemon has told with the ids of exits that this daemon uses. */
  private translate(all: readonly routing.SuspectFacts[]): routing.SuspectFacts[] {
    return all.map((facts) => ({
      ...facts,
      ends: facts.ends.map((end) => this.translateEnd(end)),
    }));
  }

  private translateEnd(end: routing.ProcessEnd): routing.ProcessEnd {
    return { ...end, processId: this.exits.translate(end.processId) };
  }

  private tell(content: Pick<peerRouters.SuspectReport, 'facts' | 'runs'>): void {
    const report = this.createReport(content);
    [...this.listZone(), ...this.listOtherZones()].forEach((id) => this.sendReport(id, report));
  }

  private createReport(
    content: Pick<peerRouters.SuspectReport, 'facts' | 'runs'>,
  ): peerRouters.SuspectReport {
    const { availabilityZone, daemonId } = this.options.cfg;
    return { ...content, daemonId, availabilityZone, isPassedOn: false };
  }

  private listZone(): string[] {
    const { cfg, view } = this.options;
    return view
      .getDirectory()
      .members.filter(({ daemonId, state }) => state === 'live' && daemonId !== cfg.daemonId)
      .map(({ daemonId }) => daemonId);
  }

  /** Lists one known daemon of each other zone, not the same for all daemons of this one. */
  private listOtherZones(): string[] {
    const { availabilityZone, daemonId, peers } = this.options.cfg;
    const zones = new Map<string, string[]>();
    peers
      .filter((peer) => peer.availabilityZone !== availabilityZone)
      .forEach((peer) => {
        zones.set(peer.availabilityZone, [
          ...(zones.get(peer.availabilityZone) ?? []),
          peer.daemonId,
        ]);
      });
    return [...zones.values()].flatMap((ids) => schemas.rankByKey(daemonId, ids).slice(0, 1));
  }

  private sendReport(daemonId: string, report: peerRouters.SuspectReport): void {
    const task = { log: this.options.log, step: 'report-suspects', peer: daemonId };
    schemas.runInBackground(() => this.repeat(daemonId, report), task);
  }

  private async repeat(daemonId: string, report: peerRouters.SuspectReport): Promise<void> {
    const { clock } = this.options;
    const endsAt = clock.now() + MAX_REPORT_MS;
    while (!this.isStopped && clock.now() < endsAt) {
      const isTaken = await this.send(daemonId, (peer, context) =>
        peer.reportSuspects.mutate(report, { context }),
      );
      if (isTaken === true) {
        return;
      }
      await clock.sleep(RETRY_PAUSE_MS);
    }
  }

  private async send<T>(
    daemonId: string,
    request: (peer: peerMeshes.PeerApi, context: { deadlineMs: number }) => Promise<T>,
  ): Promise<T | undefined> {
    const { log, mesh } = this.options;
    try {
      return await request(mesh.get(daemonId), { deadlineMs: REPORT_TIMEOUT_MS });
    } catch (err) {
      log.debug({ step: 'suspects', peer: daemonId, err: schemas.toError(err).message });
      return undefined;
    }
  }
}
