import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as createLocations from './create-location.js';
import type * as generationRelays from './generation-relay.js';
import type * as handlerContexts from './handler-context.js';
import * as teamPlaces from './team-place.js';

/** Resumes a generation for a caller that lost its connection; the caller may use any daemon. */
export class ResumeHandler {
  public constructor(
    private readonly context: handlerContexts.HandlerContext,
    private readonly relay: generationRelays.GenerationRelay,
  ) {}

  /** Handles one request. */
  public async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    generation: string,
  ): Promise<void> {
    const { access, engines, poolClient, ids } = this.context;
    const path = `/v1/generations/${generation}/events`;
    const team = access.authenticate(req);
    access.checkZoneAllowed(team, path);
    const id = ids.decode(generation, team.name);
    if (id === undefined) {
      throw createGenerationUnavailable(404);
    }
    this.checkGenerationZone(id.availabilityZone, path);
    const upstream = poolClient.findUpstream(id.upstreamId);
    if (upstream === undefined) {
      throw createGenerationUnavailable(410);
    }
    const from = getNextOffset(req, generation);
    const mayCancel = !(await this.adopt(id.daemonId, generation));
    const place = teamPlaces.createTeamPlace(team);
    const body = await engines.resume(upstream, generation, from, place).catch((err: unknown) => {
      const failure = requests.createUpstreamError(err, 'resume', upstream.upstreamId);
      throw failure.kind === 'gone' ? createGenerationUnavailable(410) : failure;
    });
    const { name } = team;
    const task = {
      call: generation,
      generation,
      team: name,
      model: '',
      place,
      upstream,
      from,
      body,
      mayCancel,
    };
    await this.relay.stream(task, res);
  }

  /**
   * Asks the daemon that relayed the generation not to cancel it; resolves to whether its caller is
   * still connected there.
   */
  private async adopt(daemonId: string, generation: string): Promise<boolean> {
    const { adoptions, cfg, log, mesh } = this.context;
    if (daemonId === cfg.daemonId) {
      return adoptions.adopt(generation).isConnected;
    }
    try {
      const answer = await mesh.get(daemonId).adopt.mutate({ generation });
      return answer.isConnected;
    } catch (err) {
      log.info({ step: 'take-over', peer: daemonId, err: schemas.toError(err).message });
      return false;
    }
  }

  private checkGenerationZone(zone: string, path: string): void {
    const { cfg, view } = this.context;
    if (zone === cfg.availabilityZone) {
      return;
    }
    const location = createLocations.createLocation(view.entries.urls[zone]?.[0], path);
    throw new schemas.Refusal({
      id: 'generationOfAnother',
      step: 'resume',
      status: location === undefined ? 503 : 307,
      outcome: 'unknown',
      location,
    });
  }
}

function getNextOffset(req: http.IncomingMessage, generation: string): number {
  const last = req.headers['last-event-id']?.toString() ?? '';
  const offset = last.startsWith(`${generation}:`) ? Number(last.slice(generation.length + 1)) : -1;
  return Number.isInteger(offset) ? offset + 1 : 0;
}

function createGenerationUnavailable(status: number): schemas.Refusal {
  const outcome = status === 404 ? 'not-run' : 'incomplete';
  return new schemas.Refusal({ id: 'generationOfAnother', step: 'resume', status, outcome });
}
