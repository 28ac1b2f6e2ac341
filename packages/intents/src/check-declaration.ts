import type * as schemas from '@bramleyridge/schemas';

/** The deployment against which a declaration is checked. */
export interface DeploymentFacts {
  readonly availabilityZones: readonly string[];
  readonly upstreams: readonly schemas.Upstream[];
  /** Memory of the smallest engine in tokens, by availability zone. */
  readonly engineTokens: ReadonlyMap<string, number>;
}

interface CheckInput {
  readonly declaration: schemas.Declaration;
  readonly deployment: DeploymentFacts;
}

/** Lists the errors of a declaration that can be found without the deployment. */
export function checkReferences(declaration: schemas.Declaration): string[] {
  return [...checkNames(declaration), ...checkTeams(declaration)];
}

/** Lists all errors of a declaration, each with its JSON path; empty if it is valid. */
export function checkDeclaration(
  declaration: schemas.Declaration,
  deployment: DeploymentFacts,
): string[] {
  const check = { declaration, deployment };
  return [
    ...checkReferences(declaration),
    ...checkZones(check),
    ...checkIntents(check),
    ...checkServices(check),
  ];
}

function* checkNames(declaration: schemas.Declaration): Generator<string> {
  const lists = [declaration.teams, declaration.intents, declaration.services];
  for (const list of lists) {
    for (const [i, item] of list.entries()) {
      if (list.findIndex((other) => other.name === item.name) !== i) {
        yield `${item.kind}s.${i}.name: ${item.name} is declared twice`;
      }
    }
  }
}

function* checkZones({ declaration, deployment }: CheckInput): Generator<string> {
  const lists = [declaration.teams, declaration.intents, declaration.services];
  for (const list of lists) {
    for (const [i, item] of list.entries()) {
      for (const zone of item.availabilityZones) {
        if (!deployment.availabilityZones.includes(zone)) {
          const known = deployment.availabilityZones.join(', ');
          yield `${item.kind}s.${i}.availabilityZones: there is no availability zone ${zone}, only ${known}`;
        }
      }
    }
  }
}

function* checkTeams(declaration: schemas.Declaration): Generator<string> {
  for (const [i, intent] of declaration.intents.entries()) {
    for (const name of intent.teams) {
      const team = declaration.teams.find((other) => other.name === name);
      if (team === undefined) {
        yield `intents.${i}.teams: there is no team ${name}`;
      } else if (!team.availabilityZones.some((zone) => intent.availabilityZones.includes(zone))) {
        yield `intents.${i}.teams: team ${name} is permitted in none of the intent's availability zones`;
      }
    }
  }
}

function* checkIntents({ declaration, deployment }: CheckInput): Generator<string> {
  for (const [i, intent] of declaration.intents.entries()) {
    for (const zone of intent.availabilityZones) {
      const engines = deployment.upstreams.filter(
        (item) => item.kind === 'engine' && item.availabilityZone === zone,
      );
      if (engines.length < intent.upstreamsPerZone) {
        yield `intents.${i}.upstreamsPerZone: ${intent.upstreamsPerZone} are wanted in ${zone}, which has ${engines.length}`;
      }
      const tokens = deployment.engineTokens.get(zone);
      if (tokens !== undefined && intent.room > tokens) {
        yield `intents.${i}.room: ${intent.room} tokens are wanted, but an engine in ${zone} has ${tokens}`;
      }
    }
  }
}

function* checkServices({ declaration, deployment }: CheckInput): Generator<string> {
  for (const [i, service] of declaration.services.entries()) {
    for (const zone of service.availabilityZones) {
      const hasUpstream = deployment.upstreams.some(
        (item) => item.service === service.name && item.availabilityZone === zone,
      );
      if (!hasUpstream) {
        yield `services.${i}.availabilityZones: no upstream of ${service.name} is in ${zone}`;
      }
    }
  }
}
