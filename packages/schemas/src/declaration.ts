import * as z from 'zod';

import * as names from './names.js';

/**
 * A customer of the deployment: its tokens, the availability zones where its data may be, and its share of capacity.
 */
export const team = z.strictObject({
  kind: z.literal('team'),
  name: names.name,
  tokenSha256: z.array(names.sha256).min(1),
  availabilityZones: z.array(names.name).min(1),
  weight: z.number().positive().max(1000).default(1),
  maxConcurrent: z.int().min(1).default(256),
  maxQueued: z.int().min(0).default(512),
});

/** A model version that serves some teams in some availability zones. */
export const intent = z.strictObject({
  kind: z.literal('intent'),
  name: names.name,
  model: names.name,
  version: names.name,
  teams: z.array(names.name).min(1),
  availabilityZones: z.array(names.name).min(1),
  upstreamsPerZone: z.int().min(1).default(1),
  room: z.int().min(1).describe('tokens of engine memory per upstream that the intent may fill'),
  overflowRisk: z.number().min(0.0001).max(0.5).default(0.02),
});

/** A plain service, and its calls that must not be repeated. */
export const service = z.strictObject({
  kind: z.literal('service'),
  name: names.name,
  availabilityZones: z.array(names.name).min(1),
  notRepeatable: z
    .array(
      z.strictObject({
        method: z.enum(['POST', 'PUT', 'PATCH', 'DELETE']),
        path: z.string().startsWith('/'),
      }),
    )
    .default([]),
});

/** One declaration file. */
export const declarationFile = z.discriminatedUnion('kind', [team, intent, service]);

/** The complete declaration of the operators. */
export const declaration = z.strictObject({
  teams: z.array(team),
  intents: z.array(intent),
  services: z.array(service),
});

/** A customer of the deployment. */
export type Team = z.infer<typeof team>;
/** A model version that serves some teams in some availability zones. */
export type Intent = z.infer<typeof intent>;
/** A plain service. */
export type Service = z.infer<typeof service>;
/** One declaration file. */
export type DeclarationFile = z.infer<typeof declarationFile>;
/** The complete declaration of the operators. */
export type Declaration = z.infer<typeof declaration>;

/**
 * A declaration file that is in force. It may have fields of a newer version, which are kept: daemons are updated one by
 * one, and the older ones must go on serving under a configuration that a newer one has put in force.
 */
export const storedFile: z.ZodType<DeclarationFile> = z.discriminatedUnion('kind', [
  team.loose(),
  intent.loose(),
  service.loose(),
]);

/** A declaration that is in force; see {@link storedFile}. */
export const storedDeclaration: z.ZodType<Declaration> = z.looseObject({
  teams: z.array(team.loose()),
  intents: z.array(intent.loose()),
  services: z.array(service.loose()),
});

/** Merges declaration files into one declaration, sorted by name so that equal content has equal JSON. */
export function createDeclaration(files: readonly DeclarationFile[]): Declaration {
  const byName = (a: { name: string }, b: { name: string }) => (a.name < b.name ? -1 : 1);
  return {
    teams: files.filter((file) => file.kind === 'team').sort(byName),
    intents: files.filter((file) => file.kind === 'intent').sort(byName),
    services: files.filter((file) => file.kind === 'service').sort(byName),
  };
}
