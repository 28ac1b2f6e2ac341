import type * as http from 'node:http';

import type * as members from '@bramleyridge/members';
import * as schemas from '@bramleyridge/schemas';

import * as createLocations from './create-location.js';

const BEARER = /^Bearer (.+)$/i;

/** Authenticates teams and checks in which zones their data may be handled. */
export class TeamAccess {
  private byDigest = new Map<string, string>();
  private indexedRevision = -1;

  public constructor(
    private readonly cfg: schemas.DaemonConfig,
    private readonly store: members.ConfigurationStore,
    private readonly getEntries: () => schemas.ZoneEntries,
  ) {}

  /** Returns the team of a request, by its bearer token. */
  public authenticate(req: http.IncomingMessage): schemas.Team {
    if (!this.store.isReady()) {
      throw createRefusal('notReady', 503, 1);
    }
    const secret = BEARER.exec(req.headers.authorization ?? '')?.[1];
    const name = secret === undefined ? undefined : this.findName(secret);
    const team = this.store.get().declaration.teams.find((item) => item.name === name);
    if (team === undefined) {
      throw createRefusal('teamToken', 401);
    }
    return team;
  }

  /**
   * Refuses a team whose data may not be handled in this availability zone. This happens before the
   * body is read: reading and forwarding the body would already handle the data in the wrong zone.
   */
  public checkZoneAllowed(team: schemas.Team, path: string): void {
    const zone = this.cfg.availabilityZone;
    if (team.availabilityZones.includes(zone)) {
      return;
    }
    const urls = team.availabilityZones.flatMap((other) => this.getEntries().urls[other] ?? []);
    const location = createLocations.createLocation(urls[0], path);
    throw new schemas.Refusal({
      id: 'notPermitted',
      step: 'place',
      status: location === undefined ? 403 : 307,
      outcome: 'not-run',
      args: [team.name, zone],
      location,
    });
  }

  private findName(secret: string): string | undefined {
    const { revision, declaration } = this.store.get();
    if (revision !== this.indexedRevision) {
      this.byDigest = new Map(
        declaration.teams.flatMap((team) => team.tokenSha256.map((hash) => [hash, team.name])),
      );
      this.indexedRevision = revision;
    }
    // The look-up uses a digest, so that its duration reveals nothing about the secret; the secret
    // is then compared in constant time.
    const digest = schemas.getSha256(secret);
    const name = this.byDigest.get(digest);
    return name !== undefined && schemas.isSecretOf(secret, digest) ? name : undefined;
  }
}

function createRefusal(
  id: 'notReady' | 'teamToken',
  status: number,
  retryAfterS?: number,
): schemas.Refusal {
  return new schemas.Refusal({ id, step: 'authenticate', status, outcome: 'not-run', retryAfterS });
}
