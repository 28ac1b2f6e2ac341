import type * as http from 'node:http';

import type * as members from '@bramleyridge/members';
import * as schemas from '@bramleyridge/schemas';

const BEARER = /^Bearer (.+)$/i;

/** Who asks, and whether their data may be here. */
export class TeamAccess {
  private byDigest = new Map<string, string>();
  private indexedRevision = -1;

  public constructor(
    private readonly cfg: schemas.DaemonConfig,
    private readonly store: members.ConfigurationStore,
    private readonly getEntries: () => schemas.ZoneEntries,
  ) {}

  /** The team of a request, by its bearer token. */
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
   * Refuses, before the body is read, a team whose data may not be in this availability zone. Reading it
   * and then forwarding it would already have handled it outside its place.
   */
  public checkZoneAllowed(team: schemas.Team, path: string): void {
    const zone = this.cfg.availabilityZone;
    if (team.availabilityZones.includes(zone)) {
      return;
    }
    const urls = team.availabilityZones.flatMap((other) => this.getEntries().urls[other] ?? []);
    throw new schemas.Refusal({
      id: 'notPermitted',
      step: 'place',
      status: urls.length > 0 ? 307 : 403,
      outcome: 'not-run',
      args: [team.name, zone],
      location: urls[0] === undefined ? undefined : `${urls[0]}${path}`,
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
    // The look-up goes by digest, so its time tells nothing of the secret; the digest is then compared
    // in constant time.
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
