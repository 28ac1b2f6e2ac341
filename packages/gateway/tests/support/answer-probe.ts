import type * as http from 'node:http';

/** Answers the requests that an upstream gets. */
export type Answer = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** The path at which upstreams state their health. */
export const HEALTH_PATH = '/health';

/** Answers checks of an upstream's health, which belong to no call, as an upstream that is sound; `answer` gets the rest. */
export function answerProbes(answer: Answer): Answer {
  return (req, res) => {
    if (req.method === 'GET' && req.url === HEALTH_PATH) {
      res.end();
    } else {
      answer(req, res);
    }
  };
}
