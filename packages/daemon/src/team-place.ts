import type * as paths from '@bramleyridge/paths';
import type * as schemas from '@bramleyridge/schemas';

/** Creates the rule on where the bytes of a team may be processed on their way to an upstream. */
export function createTeamPlace({ availabilityZones }: schemas.Team): paths.PlaceRule {
  return {
    key: [...availabilityZones].sort().join(','),
    allows: (zone) => zone !== undefined && availabilityZones.includes(zone),
  };
}
