import type * as types from './types.js';

/** Counts votes and acknowledgments by majorities: of one group of voters, or of two while seats change hands. */
export class Quorum {
  private readonly groups: readonly (readonly types.VoterSlot[])[];

  public constructor({ seats, former }: types.VoterSet) {
    this.groups = former === undefined ? [seats] : [seats, former];
  }

  /** Everyone who votes, each once. */
  public listVoters(): types.VoterSlot[] {
    const byId = new Map(this.groups.flat().map((seat) => [seat.voterId, seat]));
    return [...byId.values()];
  }

  /** Whether a majority of each group is for it. */
  public isReached(isFor: (seat: types.VoterSlot) => boolean): boolean {
    return this.groups.every((group) => group.filter(isFor).length >= getMajority(group));
  }

  /** The highest value that a majority of each group has reached. */
  public getReachedValue(getValue: (seat: types.VoterSlot) => number): number {
    const reached = this.groups.map((group) => {
      const values = group.map(getValue).sort((a, b) => b - a);
      return values[getMajority(group) - 1] ?? -Infinity;
    });
    return Math.min(...reached);
  }

  /** How many voters may still be lost, whichever they are, before no majority is left; below 0 when none is. */
  public countTolerableLosses(isHeard: (seat: types.VoterSlot) => boolean): number {
    const rest = this.groups.map((group) => group.filter(isHeard).length - getMajority(group));
    return Math.min(...rest);
  }
}

function getMajority(group: readonly types.VoterSlot[]): number {
  return Math.floor(group.length / 2) + 1;
}
