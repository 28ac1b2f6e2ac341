import type * as http from 'node:http';

import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import type * as parts from './parts.js';
import type * as relayFlows from './relay-flow.js';

/** Goes on with a generation for a caller that lost its connection, at whichever daemon it comes to. */
export class ResumeFlow {
  public constructor(
    private readonly parts: parts.Parts,
    private readonly relays: relayFlows.RelayFlow,
  ) {}

  /** Serves one request. */
  public async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    generation: string,
  ): Promise<void> {
    const { access, engines, grants, ids } = this.parts;
    const path = `/v1/generations/${generation}/events`;
    const team = access.authenticate(req);
    access.checkPlace(team, path);
    const id = ids.decode(generation, team.name);
    if (id === undefined) {
      throw createUnknown(404);
    }
    this.checkZone(id.availabilityZone, path);
    const upstream = grants.findUpstream(id.upstreamId);
    if (upstream === undefined) {
      throw createUnknown(410);
    }
    const from = getOffset(req, generation);
    const mayCancel = !(await this.takeOver(id.daemonId, generation));
    const body = await engines.resume(upstream, generation, from).catch((err: unknown) => {
      const failure = requests.createUpstreamError(err, 'resume', upstream.upstreamId);
      throw failure.kind === 'gone' ? createUnknown(410) : failure;
    });
    const { name } = team;
    const task = {
      call: generation,
      generation,
      team: name,
      model: '',
      upstream,
      from,
      body,
      mayCancel,
    };
    await this.relays.stream(task, res);
  }

  /** Tells the daemon that relayed it not to cancel it; true when its caller is still connected there. */
  private async takeOver(daemonId: string, generation: string): Promise<boolean> {
    const { adoptions, cfg, log, mesh } = this.parts;
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

  private checkZone(zone: string, path: string): void {
    const { cfg, view } = this.parts;
    if (zone === cfg.availabilityZone) {
      return;
    }
    const url = view.entries.urls[zone]?.[0];
    throw new schemas.Refusal({
      id: 'generationOfAnother',
      step: 'resume',
      status: url === undefined ? 503 : 307,
      outcome: 'unknown',
      location: url === undefined ? undefined : `${url}${path}`,
    });
  }
}

function getOffset(req: http.IncomingMessage, generation: string): number {
  const last = req.headers['last-event-id']?.toString() ?? '';
  const offset = last.startsWith(`${generation}:`) ? Number(last.slice(generation.length + 1)) : -1;
  return Number.isInteger(offset) ? offset + 1 : 0;
}

function createUnknown(status: number): schemas.Refusal {
  const outcome = status === 404 ? 'not-run' : 'incomplete';
  return new schemas.Refusal({ id: 'generationOfAnother', step: 'resume', status, outcome });
}
