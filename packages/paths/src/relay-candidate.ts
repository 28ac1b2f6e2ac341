import * as z from 'zod';

/** A host that may relay connections to upstreams for others. */
export const relayCandidate = z.object({
  /** IP address and port on which it listens for peers. */
  address: z.string(),
  availabilityZone: z.string().optional(),
});

/** A host that may relay connections to upstreams for others. */
export type RelayCandidate = z.infer<typeof relayCandidate>;

/** The relays of a host, the preferred kind first. */
export interface RelaySource {
  /** Lists hosts that serve callers. */
  listHosts(): readonly RelayCandidate[];
  /** Lists hosts that are used only where no other host helps, since they have other work. */
  listReserves(): readonly RelayCandidate[];
}

/** The places in which the bytes of a call may be processed; calls with the same `key` share connections. */
export interface PlaceRule {
  readonly key: string;
  /** Returns whether a host in an availability zone may process them; the zone is undefined if not known. */
  readonly allows: (availabilityZone: string | undefined) => boolean;
}

/** Allows every place. */
export const ANY_PLACE: PlaceRule = { key: '', allows: () => true };
