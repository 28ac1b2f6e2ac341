import type * as telemetry from '@bramleyridge/telemetry';

/** Label of calls without a team. */
const NO_TEAM = 'none';

/** A call that asks for capacity. */
export interface CountedCall {
  readonly service: string;
  /** Empty or undefined for calls without a team. */
  readonly team: string | undefined;
  readonly priority: number;
}

/** Outcome of a call that asked for capacity. */
export type TeamCallResult = 'asked' | 'granted' | 'refused';

/** Counts the calls of each service by team and priority, where capacity is shared among teams. */
export class TeamCallCounter {
  public constructor(private readonly metrics: telemetry.MetricSink) {}

  /** Counts a call that asks for capacity, gets it or is refused. */
  public count({ priority, service, team }: CountedCall, result: TeamCallResult): void {
    const labels = { service, team: getTeamLabel(team), priority: String(priority), result };
    this.metrics.count('teamCalls', labels);
  }
}

/** Returns the label of a team in metrics. */
export function getTeamLabel(team: string | undefined): string {
  return team === undefined || team === '' ? NO_TEAM : team;
}
