import type * as schemas from '@bramleyridge/schemas';

import * as procedures from './core-procedures.js';

/** How many lists before the one in force are kept; a host that is further behind gets the whole list. */
const MOST_KEPT = 8;

/** The part of the list beyond which a host is sent the whole list instead of what has changed. */
const MOST_CHANGED_PART = 0.5;

/** The last lists of upstreams, for hosts that need only what has changed since the one that they have. */
export class UpstreamListHistory {
  private lists: procedures.UpstreamList[] = [];
  private packed = new Map<string, Uint8Array | undefined>();

  /** Adds the list that is in force from now on. */
  public add(list: procedures.UpstreamList): void {
    this.lists = [...this.lists, list].slice(-(MOST_KEPT + 1));
    this.packed.clear();
  }

  /** What has changed since a list, packed once for all hosts; nothing where the whole list is better. */
  public getPackedChanges(from: string): Uint8Array | undefined {
    if (!this.packed.has(from)) {
      const changes = this.findChanges(from);
      this.packed.set(from, changes && procedures.packListChanges(changes));
    }
    return this.packed.get(from);
  }

  private findChanges(from: string): procedures.ListChanges | undefined {
    const current = this.lists.at(-1);
    const former = this.lists.find(({ stamp }) => stamp === from);
    if (current === undefined || former === undefined) {
      return undefined;
    }
    const before = new Map(former.upstreams.map((item) => [item.upstreamId, item]));
    const changed = current.upstreams.filter((item) => !isSame(item, before.get(item.upstreamId)));
    if (changed.length > current.upstreams.length * MOST_CHANGED_PART) {
      return undefined;
    }
    const listed = new Set(current.upstreams.map(({ upstreamId }) => upstreamId));
    const gone = [...before.keys()].filter((upstreamId) => !listed.has(upstreamId));
    return { from, stamp: current.stamp, changed, gone };
  }
}

function isSame(one: schemas.ListedUpstream, other: schemas.ListedUpstream | undefined): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}
