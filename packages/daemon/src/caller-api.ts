import type * as http from 'node:http';

import type * as schemasTypes from '@bramleyridge/schemas';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import type * as polka from 'polka';

import * as completionHandlers from './completion-handler.js';
import * as generationRelays from './generation-relay.js';
import type * as handlerContexts from './handler-context.js';
import * as plannedStops from './planned-stop.js';
import * as resumeHandlers from './resume-handler.js';
import * as serviceCallHandlers from './service-call-handler.js';

/** Share of the time for a stop that a generation must have, whose duration is not known before. */
const GENERATION_STOP_SHARE = 0.5;

/** Time that a resumed generation must have: it runs already, and can be resumed again. */
const RESUME_MS = 0;

type Handler = (req: requests.ApiRequest, res: http.ServerResponse) => Promise<void>;

/** The HTTP API for callers and for the balancer's health checks. */
export class CallerApi {
  private readonly completions: completionHandlers.CompletionHandler;
  private readonly resumes: resumeHandlers.ResumeHandler;
  private readonly services: serviceCallHandlers.ServiceCallHandler;

  public constructor(private readonly context: handlerContexts.HandlerContext) {
    const relays = new generationRelays.GenerationRelay(context);
    this.completions = new completionHandlers.CompletionHandler(context, relays);
    this.resumes = new resumeHandlers.ResumeHandler(context, relays);
    this.services = new serviceCallHandlers.ServiceCallHandler(context);
  }

  /** Registers the routes. */
  public addTo(app: polka.Polka): void {
    const { completions, context, resumes } = this;
    const { queueMs, stopMs } = context.cfg.limits;
    ['/v1/completions', '/v1/chat/completions'].forEach((path) => {
      app.post(
        path,
        this.serve(
          (req, res) => completions.handle(req, res, path),
          stopMs * GENERATION_STOP_SHARE,
        ),
      );
    });
    app.get(
      '/v1/generations/:id/events',
      this.serve((req, res) => resumes.handle(req, res, req.params.id ?? ''), RESUME_MS),
    );
    app.get(
      '/v1/models',
      this.serve(async (req, res) => this.listModels(req, res), queueMs),
    );
    app.all(
      '/services/:name/*',
      this.serve((req, res) => this.callService(req, res), queueMs),
    );
    app.get('/healthz', (_req, res) => requests.sendJson(res, 200, { ok: true }));
    app.get('/readyz', (_req, res) => this.showReady(res));
  }

  /**
   * Counts the request as active while it runs, and converts a thrown error into one refusal. Its answer may take `answerMs`
   * once it is passed on.
   */
  private serve(handle: Handler, answerMs: number): polka.Middleware {
    return (request, res) => {
      const req = request as unknown as requests.ApiRequest;
      const { drain, stop } = this.context;
      // An 'error' event without a listener, as after a client reset, would terminate the process.
      res.on('error', () => {});
      if (drain.isDraining()) {
        res.setHeader('connection', 'close');
      }
      // Not counted as active: callers that go on calling must not keep a stop from ending.
      if (!stop.isAccepting()) {
        const isRunning = answerMs === RESUME_MS;
        this.refuse(
          req,
          res,
          plannedStops.createStoppingRefusal(isRunning ? 'unknown' : 'not-run'),
        );
        return;
      }
      const leave = drain.enter();
      const remove = stop.add({
        res,
        answerMs,
        mayHaveRun: answerMs === RESUME_MS || req.headers['idempotency-key'] !== undefined,
        refuse: (refusal) => this.refuse(req, res, refusal),
      });
      schemas.runInBackground(() => this.run(req, res, handle, { leave, remove }), {
        log: this.context.log,
        step: 'serve-caller',
      });
    };
  }

  private async run(
    req: requests.ApiRequest,
    res: http.ServerResponse,
    handle: Handler,
    { leave, remove }: { readonly leave: () => void; readonly remove: () => void },
  ): Promise<void> {
    try {
      await handle(req, res);
    } catch (err) {
      if (!this.context.stop.hasEnded(res)) {
        this.refuse(req, res, err);
      }
    } finally {
      // Not before: an answer by the stop may be over while the handler goes on.
      remove();
      if (res.writableFinished || res.destroyed) {
        leave();
      } else {
        res.once('close', leave);
      }
    }
  }

  private refuse(req: http.IncomingMessage, res: http.ServerResponse, err: unknown): void {
    const refusal = requests.toRefusal(err);
    this.context.metrics.count('refusals', { reason: refusal.id });
    this.context.log.info({
      decision: 'refuse',
      reason: refusal.id,
      outcome: refusal.options.outcome,
      status: refusal.options.status,
      step: refusal.options.step,
      err: refusal.message,
    });
    if (res.headersSent) {
      requests.breakOff(res);
      return;
    }
    try {
      requests.sendRefusal(req, res, refusal);
    } catch (failure) {
      // Without an answer, the caller must not wait for one.
      res.destroy();
      throw failure;
    }
  }

  private listModels(req: http.IncomingMessage, res: http.ServerResponse): void {
    const team = this.context.access.authenticate(req);
    const { intents } = this.context.store.get().declaration;
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
    const { drain, store, view } = this.context;
    const isReady = store.isReady() && view.hasUpstreamList() && !drain.isDraining();
    requests.sendJson(res, isReady ? 200 : 503, {
      isReady,
      isDraining: drain.isDraining(),
      revision: store.get().revision,
      active: drain.getActive(),
    });
  }
}

/** Refuses a request that matches no route. */
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
