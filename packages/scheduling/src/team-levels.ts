import type * as fairShareQueues from './fair-share-queue.js';

/** Time for which the levels are used, in milliseconds; the counts behind them change over seconds. */
const REFRESH_MS = 100;

/** Share of the service of the best served team, relative to weights, below which a team is below its share. */
const BELOW_SHARE = 0.5;

/** Which teams recently received much less service than another one, relative to their weights. */
export class TeamLevels {
  private below = new Set<string>();
  private refreshedAt = -Infinity;

  public constructor(
    private readonly listTeams: (now: number) => readonly fairShareQueues.TeamShare[],
  ) {}

  /** Returns whether a team is far below the share of the team that is served most. */
  public isBelowShare(team: string, now: number): boolean {
    if (now - this.refreshedAt >= REFRESH_MS) {
      this.refresh(now);
    }
    return this.below.has(team);
  }

  private refresh(now: number): void {
    const levels = new Map<string, number>();
    this.listTeams(now).forEach(({ served, team, weight }) =>
      levels.set(team, (levels.get(team) ?? 0) + served / weight),
    );
    const limit = Math.max(...levels.values()) * BELOW_SHARE;
    this.below = new Set([...levels.keys()].filter((team) => levels.get(team)! < limit));
    this.refreshedAt = now;
  }
}
