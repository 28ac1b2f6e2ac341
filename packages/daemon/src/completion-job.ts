import type * as http from 'node:http';

import * as schemas from '@bramleyridge/schemas';

import * as completionBodies from './completion-body.js';
import type * as handlerContexts from './handler-context.js';

/** Longest Idempotency-Key in characters; longer keys are truncated. */
const MAX_KEY_CHARS = 255;

/** The state of one completion request. */
export interface CompletionJob {
  readonly team: schemas.Team;
  readonly intent: schemas.Intent;
  readonly body: completionBodies.CompletionBody;
  readonly estimate: completionBodies.RequestEstimate;
  readonly path: string;
  readonly isChat: boolean;
  readonly key: string | undefined;
  readonly requestHash: string;
  readonly isRepeatable: boolean;
  readonly excluded: string[];
  /** Number of engines that exited while they ran this request. */
  endedEngines: number;
  attempt: number;
}

/** Creates the job of a request, with the intent that serves it. */
export function createJob(
  { cfg, store }: handlerContexts.HandlerContext,
  req: http.IncomingMessage,
  team: schemas.Team,
  body: completionBodies.CompletionBody,
  raw: Buffer,
  path: string,
): CompletionJob {
  const intent = store
    .get()
    .declaration.intents.filter((item) => item.model === body.model)
    .filter((item) => item.availabilityZones.includes(cfg.availabilityZone))
    .find((item) => item.teams.includes(team.name));
  if (intent === undefined) {
    throw new schemas.Refusal({
      id: 'noModel',
      step: 'find-intent',
      status: 404,
      outcome: 'not-run',
      args: [body.model, team.name, cfg.availabilityZone],
      param: 'model',
    });
  }
  const wantedClass = req.headers[schemas.CLASS_HEADER];
  const estimate = completionBodies.estimateRequest(body, wantedClass?.toString());
  return {
    team,
    intent,
    body,
    estimate,
    path,
    isChat: path.includes('/chat/'),
    key: req.headers['idempotency-key']?.toString().slice(0, MAX_KEY_CHARS),
    requestHash: schemas.getSha256(raw.toString('utf8')).slice(0, 32),
    isRepeatable: req.headers[schemas.REPEATABLE_HEADER] !== 'no',
    excluded: [],
    endedEngines: 0,
    attempt: 0,
  };
}
