import type * as schemas from '@bramleyridge/schemas';

import * as procedures from './core-procedures.js';

/** Number of lists kept before the one in force; a host that is further behind gets the whole list. */
const MAX_PREVIOUS_LISTS = 8;

/** Share of changed entries above which a host is sent the whole list instead of the changes. */
const MAX_CHANGED_SHARE = 0.5;

/** Keeps the last lists of upstreams, so that hosts can be sent only the changes since the list that they have. */
export class UpstreamListHistory {
  private lists: procedures.UpstreamList[] = [];
  private packedChanges = new Map<string, Uint8Array | undefined>();

  /** Adds the new list in force. */
  public add(list: procedures.UpstreamList): void {
    this.lists = [...this.lists, list].slice(-(MAX_PREVIOUS_LISTS + 1));
    this.packedChanges.clear();
  }

  /** Returns the changes since a list, encoded once for all hosts; undefined if the whole list should be sent. */
  public getPackedChanges(from: string): Uint8Array | undefined {
    if (!this.packedChanges.has(from)) {
      const changes = this.findChanges(from);
      this.packedChanges.set(from, changes && procedures.packListChanges(changes));
    }
    return this.packedChanges.get(from);
  }

  private findChanges(from: string): procedures.ListChanges | undefined {
    const current = this.lists.at(-1);
    const previous = this.lists.find(({ stamp }) => stamp === from);
    if (current === undefined || previous === undefined) {
      return undefined;
    }
    const before = new Map(previous.upstreams.map((item) => [item.upstreamId, item]));
    const changed = current.upstreams.filter((item) => !isSame(item, before.get(item.upstreamId)));
    if (changed.length > current.upstreams.length * MAX_CHANGED_SHARE) {
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
