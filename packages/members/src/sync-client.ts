import * as schemas from '@bramleyridge/schemas';

import type * as configurationStores from './configuration-store.js';
import * as ownership from './pool-ownership.js';
import type * as zoneViews from './zone-view.js';

/** How long a peer is skipped after a failure, in heartbeats. */
const AVOID_HEARTBEATS = 3;

/** Number of rounds without confirmation by a voter after which a starting host serves its partitioned zone. */
const ISOLATED_ROUNDS = 3;

/** Minimum time between two heartbeats, in milliseconds. */
const MIN_HEARTBEAT_GAP_MS = 20;

/** The address of a host to which heartbeats can be sent. */
export interface PeerAddress {
  readonly daemonId: string;
  readonly availabilityZone: string;
  readonly host: string;
  readonly peerPort: number;
  readonly voter: boolean;
}

/** Options of `SyncClient`. */
export interface SyncClientOptions {
  readonly self: () => schemas.Heartbeat;
  readonly isVoter: boolean;
  /** Whether this host is the leader, which always has the latest revision. */
  readonly isLeader: () => boolean;
  readonly seeds: readonly PeerAddress[];
  readonly store: configurationStores.ConfigurationStore;
  readonly view: zoneViews.ZoneView;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly heartbeatMs: number;
  readonly deadlineMs: number;
  /** Sends a heartbeat and resolves to the answer as it arrived. */
  readonly sync: (peer: PeerAddress, req: schemas.SyncReq, deadlineMs: number) => Promise<unknown>;
  /** Called with the leader that a peer names. */
  readonly onLeader?: (daemonId: string | undefined) => void;
}

/** Keeps a host's configuration and view of its zone up to date, with one heartbeat in flight at a time. */
export class SyncClient {
  private readonly failedAt = new Map<string, number>();
  private readonly needsAllBeats = new Set<string>();
  private readonly needsConfiguration = new Set<string>();
  private lastBeats = new Map<string, string>();
  private lastTarget = '';
  private leader: string | undefined;
  private isStopped = false;

  private readonly faults: schemas.EntryFaultLog;

  public constructor(private readonly options: SyncClientOptions) {
    this.faults = new schemas.EntryFaultLog(options.log, 'heartbeat-answer-unreadable');
  }

  /** Loads the highest revision from the zone and the voters, then sends heartbeats until stopped. */
  public async run(): Promise<void> {
    const { clock, heartbeatMs, log } = this.options;
    while (!this.isStopped) {
      try {
        // Returns at once when the highest revision has been loaded.
        await this.loadHighestRevision();
        await this.sendHeartbeat();
      } catch (err) {
        log.error({ event: 'round-failed', task: 'heartbeat', ...schemas.describeError(err) });
        await clock.sleep(heartbeatMs);
      }
    }
  }

  /** Stops after the current heartbeat. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Sends one heartbeat: to the relay, or, if this host is the relay, to a voter. */
  public async sendHeartbeat(): Promise<void> {
    const { clock, heartbeatMs, log, view } = this.options;
    const target = this.chooseTarget();
    if (target === undefined) {
      view.refresh();
      await clock.sleep(heartbeatMs);
      return;
    }
    const askedAt = clock.now();
    try {
      const res = await this.exchange(target, heartbeatMs);
      this.applyResponse(target, res);
      // Two peers that each assume that the other has updates must not exchange messages in a busy loop, nor must a peer
      // send again at once what can't be read.
      const gapMs = res.unreadable?.lacksPart ? heartbeatMs : MIN_HEARTBEAT_GAP_MS;
      await clock.sleep(Math.max(0, gapMs - (clock.now() - askedAt)));
    } catch (err) {
      this.failedAt.set(target.daemonId, clock.now());
      const { message } = schemas.toError(err);
      log.warn({ step: 'heartbeat', peer: target.daemonId, err: message });
      await clock.sleep(Math.max(0, heartbeatMs / 4 - (clock.now() - askedAt)));
    }
    view.refresh();
  }

  /**
   * Loads the highest revision from the zone and the voters. A host without a disk starts with no configuration, and
   * with an outdated one it could serve a team where that is no longer permitted. One recent confirmation is
   * sufficient. In a partitioned zone the highest revision of the zone is used, so that the zone keeps serving.
   */
  private async loadHighestRevision(): Promise<void> {
    const { clock, heartbeatMs, store } = this.options;
    for (let round = 0; !this.isStopped && !store.isReady(); round += 1) {
      const responses = await Promise.all(
        this.listInitialPeers().map((peer) => this.queryPeer(peer)),
      );
      const received = responses.filter((response) => response !== undefined);
      const hasVoterConfirmation = received.some(
        (response) => response.ageMs < heartbeatMs * AVOID_HEARTBEATS,
      );
      const isIsolated =
        round >= ISOLATED_ROUNDS && received.some((response) => response.revision > 0);
      if (hasVoterConfirmation || isIsolated || this.options.isVoter) {
        store.markReady();
      } else {
        await clock.sleep(heartbeatMs / 4);
      }
    }
  }

  private async queryPeer(peer: PeerAddress): Promise<schemas.SyncRes | undefined> {
    try {
      const res = await this.exchange(peer, 0);
      this.applyResponse(peer, res);
      return res;
    } catch {
      return undefined;
    }
  }

  private async exchange(target: PeerAddress, waitMs: number): Promise<schemas.SyncRes> {
    const { deadlineMs, self, store, sync, view } = this.options;
    const beats = view.listHeartbeats();
    if (target.daemonId !== this.lastTarget || this.needsAllBeats.delete(target.daemonId)) {
      this.lastBeats = new Map();
      this.lastTarget = target.daemonId;
    }
    const current = new Map(beats.map((beat) => [beat.daemonId, JSON.stringify(beat)]));
    const changed = beats.filter((b) => this.lastBeats.get(b.daemonId) !== current.get(b.daemonId));
    const isWhole = this.lastBeats.size === 0;
    const configuration = this.needsConfiguration.delete(target.daemonId) ? store.get() : undefined;
    const req: schemas.SyncReq = {
      from: self().daemonId,
      incarnation: self().incarnation,
      availabilityZone: self().availabilityZone,
      beats: changed,
      isWhole,
      dropped: [...this.lastBeats.keys()].filter((id) => !current.has(id)),
      revision: store.get().revision,
      directoryStamp: view.getDirectory().stamp,
      entriesStamp: view.entries.stamp,
      waitMs: Math.round(waitMs),
      configuration,
    };
    const answer = await sync(target, req, waitMs + deadlineMs);
    const res = schemas.parse(schemas.syncRes, answer, 'read-sync');
    this.faults.record(target.daemonId, res.unreadable ?? { unreadable: 0, faults: [] });
    this.options.onLeader?.(res.leader);
    this.lastBeats = current;
    return res;
  }

  private applyResponse(target: PeerAddress, res: schemas.SyncRes): void {
    const { store, view } = this.options;
    this.failedAt.delete(target.daemonId);
    if (res.configuration !== undefined) {
      store.offer(res.configuration);
    }
    if (res.deltas !== undefined) {
      store.offerDeltas(res.deltas);
    }
    if (res.revision === store.get().revision) {
      store.recordLeaderConfirmation(res.ageMs);
    }
    if (res.directory !== undefined && !view.isRelay()) {
      view.receiveDirectory(res.directory);
    }
    if (res.entries !== undefined) {
      view.entries = res.entries;
    }
    if (res.needsBeats) {
      this.needsAllBeats.add(target.daemonId);
    }
    if (res.needsConfiguration) {
      this.needsConfiguration.add(target.daemonId);
    }
    this.leader = res.leader ?? this.leader;
  }

  /** The first relay in preference order that has not failed recently. If that is this host itself, a voter instead. */
  private chooseTarget(): PeerAddress | undefined {
    const { self, view } = this.options;
    const own = self();
    const zone = this.listZonePeers();
    const ranked = ownership.rankRelays(own.availabilityZone, [
      ...zone.filter((peer) => peer.daemonId !== own.daemonId),
      own,
    ]);
    const first = ranked.find((id) => id === own.daemonId || !this.isAvoided(id));
    const isRelay = first === undefined || first === own.daemonId;
    view.setRelay(isRelay);
    return isRelay ? this.chooseVoter() : zone.find((peer) => peer.daemonId === first);
  }

  private chooseVoter(): PeerAddress | undefined {
    const { isLeader, seeds, self } = this.options;
    const own = self();
    if (isLeader()) {
      return undefined;
    }
    const voters = seeds.filter((peer) => peer.voter && peer.daemonId !== own.daemonId);
    const usable = voters.filter((peer) => !this.isAvoided(peer.daemonId));
    const leader = usable.find((peer) => peer.daemonId === this.leader);
    const sameZone = usable.find((peer) => peer.availabilityZone === own.availabilityZone);
    return leader ?? sameZone ?? usable[0];
  }

  private isAvoided(daemonId: string): boolean {
    const { clock, heartbeatMs } = this.options;
    const failedAt = this.failedAt.get(daemonId);
    return failedAt !== undefined && clock.now() - failedAt < AVOID_HEARTBEATS * heartbeatMs;
  }

  private listZonePeers(): (PeerAddress & { isLeaving: boolean })[] {
    const { seeds, self, view } = this.options;
    const zone = self().availabilityZone;
    const listed = view.getDirectory().members;
    const known = new Set(listed.map((member) => member.daemonId));
    const seeded = listed.length > 0 ? [] : seeds.filter((s) => s.availabilityZone === zone);
    return [
      ...listed
        .filter((member) => member.state !== 'gone')
        .map((member) => ({ ...member, isLeaving: member.state === 'leaving', voter: false })),
      ...seeded.filter((s) => !known.has(s.daemonId)).map((s) => ({ ...s, isLeaving: false })),
    ];
  }

  private listInitialPeers(): PeerAddress[] {
    const { seeds, self } = this.options;
    const own = self();
    return seeds
      .filter((peer) => peer.daemonId !== own.daemonId)
      .filter((peer) => peer.voter || peer.availabilityZone === own.availabilityZone);
  }
}
