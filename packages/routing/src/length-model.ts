import * as lengths from './length-distribution.js';
import type * as types from './types.js';

/** Provides the length distribution of a kind of work. */
export interface LengthSource {
  get(team: string, workClass: types.WorkClass): lengths.LengthDistribution;
}

/** Length distributions per team and class; the distribution of the class is the prior. */
export class LengthModel implements LengthSource {
  private readonly byClass = new Map<types.WorkClass, lengths.LengthDistribution>();
  private readonly byTeam = new Map<string, lengths.LengthDistribution>();

  /** Returns the distribution for a team's work of a class. */
  public get(team: string, workClass: types.WorkClass): lengths.LengthDistribution {
    const key = `${team}/${workClass}`;
    const known = this.byTeam.get(key);
    if (known !== undefined) {
      return known;
    }
    const parent = this.byClass.get(workClass) ?? new lengths.LengthDistribution();
    this.byClass.set(workClass, parent);
    const created = new lengths.LengthDistribution(parent);
    this.byTeam.set(key, created);
    return created;
  }
}
