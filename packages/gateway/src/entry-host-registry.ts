import type * as paths from '@bramleyridge/paths';
import * as schemas from '@bramleyridge/schemas';

import type * as procedures from './core-procedures.js';

/** Time without a poll after which an entry host no longer counts, in milliseconds. */
const EXPIRY_MS = 3_000;

/**
 * Number of relays that each host gets. Where most hosts are cut off, some of its relays still reach upstreams, and no
 * host serves more than this number of others while only few are cut off.
 */
const RELAYS_PER_HOST = 12;

interface EntryHostState {
  polledAt: number;
  relay: paths.RelayCandidate | undefined;
}

/** The entry hosts that poll this core host. */
export class EntryHostRegistry {
  private readonly hosts = new Map<string, EntryHostState>();
  /** Hosts that relay, in an order that mixes zones; undefined after a change. */
  private ring: string[] | undefined;
  private readonly lists = new Map<string, procedures.RelayList>();

  public constructor(private readonly clock: schemas.Clock) {}

  /** Records a poll. */
  public recordPoll(hostId: string, relay?: paths.RelayCandidate): void {
    const former = this.hosts.get(hostId);
    if (former?.relay?.address !== relay?.address) {
      this.ring = undefined;
    }
    this.hosts.set(hostId, { polledAt: this.clock.now(), relay });
  }

  /** Counts the entry hosts that have polled recently. */
  public count(): number {
    const now = this.clock.now();
    [...this.hosts]
      .filter(([, { polledAt }]) => now - polledAt > EXPIRY_MS)
      .forEach(([hostId]) => {
        this.hosts.delete(hostId);
        this.ring = undefined;
      });
    return this.hosts.size;
  }

  /**
   * Lists the relays of a host: those that follow it in the ring. A host that joins or leaves changes the lists of few
   * others.
   */
  public listRelays(hostId: string): procedures.RelayList {
    if (this.ring === undefined) {
      this.ring = this.createRing();
      this.lists.clear();
    }
    const list = this.lists.get(hostId) ?? this.createList(hostId, this.ring);
    this.lists.set(hostId, list);
    return list;
  }

  private createList(hostId: string, ring: readonly string[]): procedures.RelayList {
    const at = ring.indexOf(hostId);
    const others = [...ring.slice(at + 1), ...ring.slice(0, Math.max(0, at))];
    const relays = others
      .slice(0, RELAYS_PER_HOST)
      .map((other) => this.hosts.get(other)?.relay)
      .filter((relay) => relay !== undefined);
    const place = at === -1 ? undefined : { index: at, hosts: ring.length };
    const stamp = schemas.getSha256(JSON.stringify([relays, place])).slice(0, 16);
    return { stamp, relays, place };
  }

  private createRing(): string[] {
    return [...this.hosts]
      .filter(([, { relay }]) => relay !== undefined)
      .map(([hostId]) => ({ hostId, place: schemas.getSha256(hostId) }))
      .sort((left, right) => (left.place < right.place ? -1 : 1))
      .map(({ hostId }) => hostId);
  }
}
