import type * as http from 'node:http';

import type * as requests from '@bramleyridge/requests';
import * as routing from '@bramleyridge/routing';
import * as schemas from '@bramleyridge/schemas';

import * as completionBodies from './completion-body.js';
import type * as handlerContexts from './handler-context.js';

/** Longest Idempotency-Key in characters; longer keys are truncated. */
const MAX_KEY_CHARS = 255;

/**
 * Maximum number of engines that may exit while they run one request. After two exits in a row the
 * request itself is the most likely cause, and every exit also loses all other generations of that
 * engine.
 */
const MAX_ENDED_ENGINES = 2;

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
  /** Identifies it among the calls that may make upstreams exit. */
  readonly subject: requests.RunSubject;
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
  const requestHash = schemas.getSha256(raw.toString('utf8')).slice(0, 32);
  return {
    team,
    intent,
    body,
    estimate,
    path,
    isChat: path.includes('/chat/'),
    key: req.headers['idempotency-key']?.toString().slice(0, MAX_KEY_CHARS),
    requestHash,
    subject: createSubject(body, `${team.name}/${path}/${requestHash}`),
    isRepeatable: req.headers[schemas.REPEATABLE_HEADER] !== 'no',
    excluded: [],
    endedEngines: 0,
    attempt: 0,
  };
}

/** Returns whether a request may be generated anew after a run of it is known gone. */
export function mayRepeat({ endedEngines, isRepeatable, key }: CompletionJob): boolean {
  return isRepeatable && key === undefined && endedEngines < MAX_ENDED_ENGINES;
}

/** Creates what identifies a request and the parts of its prompt; the hashes are computed on first use. */
function createSubject(body: completionBodies.CompletionBody, call: string): requests.RunSubject {
  let partIds: readonly string[] | undefined;
  return {
    requestId: call,
    getDigest: () => schemas.getContentHash(call),
    listPartIds: () => {
      partIds ??= completionBodies
        .listSharedParts(body)
        .map((part) => routing.createPartId('', body.model, part));
      return partIds;
    },
  };
}
