import type * as types from './types.js';

/** Evaluates majorities: of one group of voters, or of both groups during joint consensus. */
export class Quorum {
  private readonly groups: readonly (readonly types.VoterSlot[])[];

  public constructor({ seats, former }: types.VoterSet) {
    this.groups = former === undefined ? [seats] : [seats, former];
  }

  /** All voters of both groups, without duplicates. */
  public listVoters(): types.VoterSlot[] {
    const byId = new Map(this.groups.flat().map((slot) => [slot.voterId, slot]));
    return [...byId.values()];
  }

  /** Whether a majority of each group satisfies a predicate. */
  public isReached(predicate: (slot: types.VoterSlot) => boolean): boolean {
    return this.groups.every((group) => group.filter(predicate).length >= getMajority(group));
  }

  /** The highest value that a majority of each group has reached or exceeded. */
  public getReachedValue(getValue: (slot: types.VoterSlot) => number): number {
    const reached = this.groups.map((group) => {
      const values = group.map(getValue).sort((a, b) => b - a);
      return values[getMajority(group) - 1] ?? -Infinity;
    });
    return Math.min(...reached);
  }

  /** How many more voters may fail, whichever they are, without losing a majority; negative if it is already lost. */
  public countTolerableLosses(isAvailable: (slot: types.VoterSlot) => boolean): number {
    const margins = this.groups.map(
      (group) => group.filter(isAvailable).length - getMajority(group),
    );
    return Math.min(...margins);
  }
}

function getMajority(group: readonly types.VoterSlot[]): number {
  return Math.floor(group.length / 2) + 1;
}
