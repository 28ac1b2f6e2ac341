import * as schemas from '@bramleyridge/schemas';

import type * as configurationStores from './configuration-store.js';
import * as ownership from './pool-ownership.js';
import type * as zoneViews from './zone-view.js';

/** How many heartbeats a peer that failed is passed over. */
const AVOID_BEATS = 3;

/** How many heartbeats without a voter's word a starting daemon waits before it serves its cut-off zone. */
const ALONE_BEATS = 3;

/** The shortest time between two heartbeats, in milliseconds. */
const MIN_GAP_MS = 20;

/** A daemon that can be asked. */
export interface PeerAddress {
  readonly daemonId: string;
  readonly availabilityZone: string;
  readonly host: string;
  readonly peerPort: number;
  readonly voter: boolean;
}

/** What the client needs. */
export interface SyncClientOptions {
  readonly self: () => schemas.Beat;
  readonly isVoter: boolean;
  /** Whether this daemon leads, and so knows the newest itself. */
  readonly isLeader: () => boolean;
  readonly seeds: readonly PeerAddress[];
  readonly store: configurationStores.ConfigurationStore;
  readonly view: zoneViews.ZoneView;
  readonly clock: schemas.Clock;
  readonly log: schemas.Log;
  readonly heartbeatMs: number;
  readonly deadlineMs: number;
  readonly sync: (
    peer: PeerAddress,
    req: schemas.SyncReq,
    deadlineMs: number,
  ) => Promise<schemas.SyncRes>;
}

/** The task that keeps a daemon's configuration and view of its zone fresh, by one heartbeat at a time. */
export class SyncClient {
  private readonly failedAt = new Map<string, number>();
  private readonly needsAll = new Set<string>();
  private readonly needsConfiguration = new Set<string>();
  private lastBeats = new Map<string, string>();
  private lastTarget = '';
  private leader: string | undefined;
  private isStopped = false;

  public constructor(private readonly options: SyncClientOptions) {}

  /** Asks everyone near for the highest revision, then heartbeats until stopped. */
  public async run(): Promise<void> {
    await this.learnHighest();
    while (!this.isStopped) {
      await this.sendHeartbeat();
    }
  }

  /** Ends the task after the heartbeat that runs. */
  public stop(): void {
    this.isStopped = true;
  }

  /** One heartbeat to the relay, or as the relay to the voters. */
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
      this.take(target, res);
      // Two peers that each think the other has news must not answer each other without pause.
      await clock.sleep(Math.max(0, MIN_GAP_MS - (clock.now() - askedAt)));
    } catch (err) {
      this.failedAt.set(target.daemonId, clock.now());
      const { message } = schemas.toError(err);
      log.warn({ step: 'heartbeat', peer: target.daemonId, err: message });
      await clock.sleep(Math.max(0, heartbeatMs / 4 - (clock.now() - askedAt)));
    }
    view.refresh();
  }

  /**
   * A daemon without a disk has forgotten what was in force. It asks its zone and the voters before it
   * serves; otherwise it could serve a team where that is no longer permitted. A voter's word is enough.
   * In a cut-off zone the zone's highest is the best that can be had, and the zone goes on serving.
   */
  private async learnHighest(): Promise<void> {
    const { clock, heartbeatMs, store } = this.options;
    for (let round = 0; !this.isStopped && !store.isReady(); round += 1) {
      const answers = await Promise.all(this.listNear().map((peer) => this.ask(peer)));
      const heard = answers.filter((answer) => answer !== undefined);
      const hasVoter = heard.some((answer) => answer.ageMs < heartbeatMs * AVOID_BEATS);
      const isAlone = round >= ALONE_BEATS && heard.some((answer) => answer.revision > 0);
      if (hasVoter || isAlone || this.options.isVoter) {
        store.markReady();
      } else {
        await clock.sleep(heartbeatMs / 4);
      }
    }
  }

  private async ask(peer: PeerAddress): Promise<schemas.SyncRes | undefined> {
    try {
      const res = await this.exchange(peer, 0);
      this.take(peer, res);
      return res;
    } catch {
      return undefined;
    }
  }

  private async exchange(target: PeerAddress, waitMs: number): Promise<schemas.SyncRes> {
    const { deadlineMs, self, store, sync, view } = this.options;
    const beats = view.listHeartbeats();
    if (target.daemonId !== this.lastTarget || this.needsAll.delete(target.daemonId)) {
      this.lastBeats = new Map();
      this.lastTarget = target.daemonId;
    }
    const shown = new Map(beats.map((beat) => [beat.daemonId, JSON.stringify(beat)]));
    const changed = beats.filter((b) => this.lastBeats.get(b.daemonId) !== shown.get(b.daemonId));
    const isWhole = this.lastBeats.size === 0;
    const configuration = this.needsConfiguration.delete(target.daemonId) ? store.get() : undefined;
    const req: schemas.SyncReq = {
      from: self().daemonId,
      incarnation: self().incarnation,
      availabilityZone: self().availabilityZone,
      beats: changed,
      isWhole,
      dropped: [...this.lastBeats.keys()].filter((id) => !shown.has(id)),
      revision: store.get().revision,
      directoryStamp: view.getDirectory().stamp,
      entriesStamp: view.entries.stamp,
      waitMs: Math.round(waitMs),
      configuration,
    };
    const res = await sync(target, req, waitMs + deadlineMs);
    this.lastBeats = shown;
    return res;
  }

  private take(target: PeerAddress, res: schemas.SyncRes): void {
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
      this.needsAll.add(target.daemonId);
    }
    if (res.needsConfiguration) {
      this.needsConfiguration.add(target.daemonId);
    }
    this.leader = res.leader ?? this.leader;
  }

  /** The first relay in rank that answers; this daemon itself when it comes first, and then a voter. */
  private chooseTarget(): PeerAddress | undefined {
    const { self, view } = this.options;
    const own = self();
    const zone = this.listZone();
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
    const near = usable.find((peer) => peer.availabilityZone === own.availabilityZone);
    return leader ?? near ?? usable[0];
  }

  private isAvoided(daemonId: string): boolean {
    const { clock, heartbeatMs } = this.options;
    const failedAt = this.failedAt.get(daemonId);
    return failedAt !== undefined && clock.now() - failedAt < AVOID_BEATS * heartbeatMs;
  }

  private listZone(): (PeerAddress & { isLeaving: boolean })[] {
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

  private listNear(): PeerAddress[] {
    const { seeds, self } = this.options;
    const own = self();
    return seeds
      .filter((peer) => peer.daemonId !== own.daemonId)
      .filter((peer) => peer.voter || peer.availabilityZone === own.availabilityZone);
  }
}
