import type * as schemas from '@bramleyridge/schemas';

/** The routes, services and keys of one configuration, indexed for lookup per call. */
export class RouteTable {
  private readonly byHost = new Map<string, schemas.Route[]>();
  private readonly byKey = new Map<string, schemas.KeyedTeam>();
  private readonly services = new Map<string, schemas.RoutedService>();

  public constructor(public readonly config: schemas.RoutedConfig) {
    config.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host) ?? [];
      routes.push(route);
      this.byHost.set(host, routes);
    });
    // Sorted by descending prefix length, so the first match is the longest.
    this.byHost.forEach((routes) =>
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
    );
    config.teams?.forEach((team) => team.keys.forEach((key) => this.byKey.set(key, team)));
    config.services.forEach((service) => this.services.set(service.name, service));
  }

  /**
   * Returns the route of a call: among those of its host, the one with the longest matching path
   * prefix.
   */
  public findRoute(host: string, path: string): schemas.Route | undefined {
    return this.byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Returns the team that owns a key. */
  public findTeam(key: string): schemas.KeyedTeam | undefined {
    return this.byKey.get(key);
  }

  /** Whether calls of a route must carry the key of a team. */
  public needsKey(route: schemas.Route): boolean {
    return this.config.teams !== undefined && !route.isPublic;
  }

  /** Returns a service of the configuration by its name. */
  public findService(name: string): schemas.RoutedService | undefined {
    return this.services.get(name);
  }
}

/** Draws the service for one call by the weights of its route. */
export function drawService({ targets }: schemas.Route, random: () => number): string {
  // Weights may be so large that their sum is not finite.
  const largest = Math.max(...targets.map(({ weight }) => weight));
  const weighted = targets
    .map(({ service, weight }) => ({ service, share: weight / largest }))
    .filter(({ share }) => share > 0);
  let rest = random() * weighted.reduce((sum, { share }) => sum + share, 0);
  const drawn = weighted.find(({ share }) => {
    rest -= share;
    return rest < 0;
  });
  return (drawn ?? weighted[0] ?? targets[0]!).service;
}
