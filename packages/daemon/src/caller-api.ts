import type * as http from 'node:http';

import type * as schemasTypes from '@bramleyridge/schemas';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import type * as polka from 'polka';

import * as completionFlows from './completion-flow.js';
import type * as parts from './parts.js';
import * as relayFlows from './relay-flow.js';
import * as resumeFlows from './resume-flow.js';
import * as serviceFlows from './service-flow.js';

type Handler = (req: requests.ApiRequest, res: http.ServerResponse) => Promise<void>;

/** What callers and the balancer reach over HTTP. */
export class CallerApi {
  private readonly completions: completionFlows.CompletionFlow;
  private readonly resumes: resumeFlows.ResumeFlow;
  private readonly services: serviceFlows.ServiceFlow;

  public constructor(private readonly parts: parts.Parts) {
    const relays = new relayFlows.RelayFlow(parts);
    this.completions = new completionFlows.CompletionFlow(parts, relays);
    this.resumes = new resumeFlows.ResumeFlow(parts, relays);
    this.services = new serviceFlows.ServiceFlow(parts);
  }

  /** Adds the routes. */
  public addTo(app: polka.Polka): void {
    const { completions, resumes } = this;
    ['/v1/completions', '/v1/chat/completions'].forEach((path) => {
      app.post(
        path,
        this.serve((req, res) => completions.handle(req, res, path)),
      );
    });
    app.get(
      '/v1/generations/:id/events',
      this.serve((req, res) => resumes.handle(req, res, req.params.id ?? '')),
    );
    app.get(
      '/v1/models',
      this.serve(async (req, res) => this.listModels(req, res)),
    );
    app.all(
      '/services/:name/*',
      this.serve((req, res) => this.callService(req, res)),
    );
    app.get('/healthz', (_req, res) => requests.sendJson(res, 200, { ok: true }));
    app.get('/readyz', (_req, res) => this.showReady(res));
  }

  /** Counts a request while it runs and turns what it throws into one answer. */
  private serve(handle: Handler): polka.Middleware {
    return (request, res) => {
      const req = request as unknown as requests.ApiRequest;
      const leave = this.parts.drain.enter();
      // Without this a client that vanishes in the wrong moment would end the process.
      res.on('error', () => {});
      if (this.parts.drain.isDraining()) {
        res.setHeader('connection', 'close');
      }
      void handle(req, res)
        .catch((err: unknown) => this.refuse(req, res, err))
        .finally(() =>
          res.writableFinished || res.destroyed ? leave() : res.once('close', leave),
        );
    };
  }

  private refuse(req: http.IncomingMessage, res: http.ServerResponse, err: unknown): void {
    const refusal = requests.toRefusal(err);
    this.parts.metrics.count('refusals', { reason: refusal.id });
    this.parts.log.info({
      decision: 'refuse',
      reason: refusal.id,
      outcome: refusal.options.outcome,
      status: refusal.options.status,
      step: refusal.options.step,
      err: refusal.message,
    });
    if (res.headersSent) {
      res.destroy();
      return;
    }
    requests.sendRefusal(req, res, refusal);
  }

  private listModels(req: http.IncomingMessage, res: http.ServerResponse): void {
    const team = this.parts.access.authenticate(req);
    const { intents } = this.parts.store.get().declaration;
    const models = new Set(
      intents.filter((intent) => intent.teams.includes(team.name)).map((intent) => intent.model),
    );
    const data = [...models].map((id) => ({
      id,
      object: 'model',
      created: 0,
      owned_by: 'bramleyridge',
    }));
    requests.sendJson(res, 200, { object: 'list', data });
  }

  private async callService(req: requests.ApiRequest, res: http.ServerResponse): Promise<void> {
    const { name } = req.params;
    const path = (req.url ?? '').slice(`/services/${name}`.length);
    await this.services.handle(req, res, name ?? '', path);
  }

  private showReady(res: http.ServerResponse): void {
    const { drain, store, view } = this.parts;
    const isReady = store.isReady() && view.hasUpstreamList() && !drain.isDraining();
    requests.sendJson(res, isReady ? 200 : 503, {
      isReady,
      isDraining: drain.isDraining(),
      revision: store.get().revision,
      active: drain.getActive(),
    });
  }
}

/** Answers a request that no route takes. */
export function refuseRoute(req: http.IncomingMessage, res: http.ServerResponse): void {
  const refusal: schemasTypes.Refusal = new schemas.Refusal({
    id: 'noRoute',
    step: 'route',
    status: 404,
    outcome: 'not-run',
    args: [req.method ?? '', (req.url ?? '').slice(0, 200)],
  });
  requests.sendRefusal(req, res, refusal);
}
