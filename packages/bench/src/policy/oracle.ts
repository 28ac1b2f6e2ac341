import * as routing from '@bramleyridge/routing';

/** A distribution that never ends early: with the true length as limit, the future is known. */
class KnownLength extends routing.LengthDistribution {
  public override getSurvival(): number {
    return 1;
  }

  public override fillSurvival(_from: number, _steps: readonly number[], out: Float64Array): void {
    out.fill(1);
  }

  public override getMeanRemaining(from: number, most: number): number {
    return Math.max(0, most - from);
  }
}

/** Stands in for learned lengths where the true ones are given as limits. */
export class Oracle implements routing.LengthSource {
  private readonly known = new KnownLength();

  public get(): routing.LengthDistribution {
    return this.known;
  }
}
