import type * as schemas from '@bramleyridge/schemas';

/** Yields the errors of a routed configuration that span several fields; single fields are checked by the schema. */
export function* checkRoutedConfig(config: schemas.RoutedConfig): Generator<string> {
  yield* checkTargets(config);
  yield* checkHostPrefixes(config);
  yield* checkKeys(config);
}

function* checkTargets(config: schemas.RoutedConfig): Generator<string> {
  const services = new Set(config.services.map((service) => service.name));
  for (const route of config.routes) {
    const unknown = route.targets.find((target) => !services.has(target.service));
    if (unknown !== undefined) {
      yield `route ${route.name}: service ${unknown.service} is not declared`;
    }
    if (route.targets.every((target) => target.weight === 0)) {
      yield `route ${route.name}: the weights add up to 0`;
    }
  }
}

function* checkHostPrefixes(config: schemas.RoutedConfig): Generator<string> {
  const routeNames = new Map<string, string>();
  for (const route of config.routes) {
    const hostPrefix = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    const other = routeNames.get(hostPrefix);
    if (other !== undefined) {
      yield `routes ${other} and ${route.name}: both have host and prefix ${hostPrefix}`;
    }
    routeNames.set(hostPrefix, route.name);
  }
}

function* checkKeys(config: schemas.RoutedConfig): Generator<string> {
  const owners = new Map<string, string>();
  for (const team of config.teams ?? []) {
    for (const key of team.keys) {
      const other = owners.get(key);
      if (other !== undefined && other !== team.name) {
        yield `teams ${other} and ${team.name}: both hold the same key`;
      }
      owners.set(key, team.name);
    }
  }
}
