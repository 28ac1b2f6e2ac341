import type * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import type * as hostSettings from './host-settings.js';

/** Weight of a team for which neither the settings nor the configuration have one. */
const DEFAULT_WEIGHT = 1;

/** Dependencies of the weights of teams. */
export interface TeamWeightsOptions {
  readonly getSettings: () => Pick<hostSettings.HostSettings, 'capacitySharing'>;
  /** Returns the routes of the configuration in force; `undefined` before there are any. */
  readonly findTable: () => routing.RouteTable | undefined;
}

/**
 * Weights of teams in shares of scarce capacity: that of the settings, else that of the
 * configuration in force, else 1. Both are read at each use, so a change takes effect at once.
 */
export class TeamWeights {
  private indexed: schemas.RoutedConfig | undefined;
  private readonly configured = new Map<string, number>();

  public constructor(private readonly options: TeamWeightsOptions) {}

  /** Whether the settings enable shares of capacity. */
  public isSharing(): boolean {
    return this.options.getSettings().capacitySharing !== undefined;
  }

  /** Returns the weight of a team; empty for calls without a team. */
  public get(team: string): number {
    const weights = this.options.getSettings().capacitySharing?.teamWeights ?? {};
    const weight = Object.hasOwn(weights, team) ? weights[team] : undefined;
    return weight ?? this.findConfigured(team) ?? DEFAULT_WEIGHT;
  }

  private findConfigured(team: string): number | undefined {
    const config = this.options.findTable()?.config;
    if (config !== this.indexed) {
      this.indexed = config;
      this.configured.clear();
      config?.teams?.forEach(({ name, weight }) => {
        if (weight !== undefined) {
          this.configured.set(name, weight);
        }
      });
    }
    return this.configured.get(team);
  }
}
