import type * as http from 'node:http';

import * as consensus from '@bramleyridge/consensus';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import type * as polka from 'polka';
import * as z from 'zod';

import type * as controlPlanes from './control-plane.js';
import type * as decisionLogs from './decision-log.js';
import type * as leaderTasks from './leader-tasks.js';
import * as peerRouters from './peer-router.js';

/** Time within which the leader must answer, in milliseconds. */
const LEADER_DEADLINE_MS = 4_000;

const planBody = z.strictObject({
  requestId: z.string().min(1).max(128),
  files: z.array(schemas.declarationFile).max(10_000),
});

const confirmBody = z.strictObject({ requestId: z.string().min(1).max(128) });

/** Dependencies of the operators' API. */
export interface OperatorApiOptions {
  readonly cfg: schemas.DaemonConfig;
  readonly control: controlPlanes.ControlPlane;
  readonly leader: leaderTasks.LeaderTasks;
  readonly decisions: decisionLogs.DecisionLog;
  readonly log: schemas.Log;
  /** Bytes held for calls. */
  readonly held: requests.HeldBytes;
  readonly getDeclaration: () => schemas.Declaration;
  /** Returns this daemon's role in the control plane and the traffic counts of its links. */
  readonly describeLinks: () => object;
  readonly reloadKeys: () => void;
  readonly drain: () => void;
}

type Handler = (
  req: requests.ApiRequest,
  res: http.ServerResponse,
  operator: string,
) => Promise<void>;

/** The HTTP API for operators, who authenticate with tokens of their own. */
export class OperatorApi {
  public constructor(private readonly options: OperatorApiOptions) {}

  /** Registers the routes. */
  public addTo(app: polka.Polka): void {
    const base = '/operator/v1';
    app.post(
      `${base}/plans`,
      this.serve((req, res, operator) => this.plan(req, res, operator)),
    );
    app.post(
      `${base}/plans/:id/confirm`,
      this.serve((req, res, operator) => this.confirm(req, res, operator)),
    );
    app.get(
      `${base}/status`,
      this.serve((_req, res) => this.showStatus(res)),
    );
    app.get(
      `${base}/declaration`,
      this.serve(async (_req, res) => requests.sendJson(res, 200, this.options.getDeclaration())),
    );
    app.get(
      `${base}/explain/:request`,
      this.serve(async (req, res) =>
        requests.sendJson(res, 200, this.options.decisions.explain(req.params.request ?? '')),
      ),
    );
    app.post(
      `${base}/claims/refound`,
      this.serve((_req, res) => this.refoundClaims(res)),
    );
    app.get(
      `${base}/links`,
      this.serve(async (_req, res) => requests.sendJson(res, 200, this.options.describeLinks())),
    );
    app.post(
      `${base}/voters`,
      this.serve((req, res) => this.changeVoters(req, res)),
    );
    app.post(
      `${base}/keys/reload`,
      this.serve(async (_req, res) => {
        this.options.reloadKeys();
        requests.sendJson(res, 200, {});
      }),
    );
    app.post(
      `${base}/drain`,
      this.serve(async (_req, res) => {
        this.options.drain();
        requests.sendJson(res, 202, {});
      }),
    );
  }

  private serve(handle: Handler): polka.Middleware {
    return (request, res) => {
      const req = request as unknown as requests.ApiRequest;
      res.on('error', () => {});
      schemas.runInBackground(() => this.run(req, res, handle), {
        log: this.options.log,
        step: 'serve-operator',
      });
    };
  }

  private async run(
    req: requests.ApiRequest,
    res: http.ServerResponse,
    handle: Handler,
  ): Promise<void> {
    try {
      await handle(req, res, this.authenticate(req));
    } catch (err) {
      if (res.headersSent) {
        requests.breakOff(res);
        return;
      }
      requests.sendRefusal(req, res, requests.toRefusal(err));
    }
  }

  private authenticate(req: http.IncomingMessage): string {
    const secret = /^Bearer (.+)$/i.exec(req.headers.authorization ?? '')?.[1] ?? '';
    const matches = this.options.cfg.operators.filter((item) =>
      schemas.isSecretOf(secret, item.sha256),
    );
    if (matches[0] === undefined) {
      throw new schemas.Refusal({
        id: 'operatorToken',
        step: 'authenticate',
        status: 401,
        outcome: 'not-run',
      });
    }
    return matches[0].operator;
  }

  private async plan(
    req: requests.ApiRequest,
    res: http.ServerResponse,
    operator: string,
  ): Promise<void> {
    const raw = await this.readBody(req, res);
    const body = requests.parseJson(planBody, raw);
    const { requestId, files } = body;
    const declaration = schemas.createDeclaration(files);
    const proposed = await this.propose({
      kind: 'plan',
      requestId,
      operator,
      at: Date.now(),
      declaration,
    });
    if (proposed.faults.length > 0 || proposed.result?.kind !== 'planned') {
      requests.sendJson(res, 422, { faults: proposed.faults });
      return;
    }
    requests.sendJson(res, 200, { plan: proposed.result.plan, effects: proposed.effects });
  }

  private async confirm(
    req: requests.ApiRequest,
    res: http.ServerResponse,
    operator: string,
  ): Promise<void> {
    const raw = await this.readBody(req, res);
    const { requestId } = requests.parseJson(confirmBody, raw);
    const planId = req.params.id ?? '';
    const command = { kind: 'confirm' as const, requestId, operator, at: Date.now(), planId };
    const { result } = await this.propose(command);
    if (result?.kind === 'refused') {
      throw new schemas.Refusal({
        id: result.id,
        step: 'confirm',
        status: result.id === 'noPlan' ? 404 : 409,
        outcome: 'not-run',
        args: result.args,
      });
    }
    requests.sendJson(res, 200, result);
  }

  private readBody(req: http.IncomingMessage, res: http.ServerResponse): Promise<Buffer> {
    const { cfg, held } = this.options;
    return requests.readHeldBody(req, res, cfg.limits, held);
  }

  private propose(command: schemas.Command): Promise<peerRouters.ProposeResult> {
    const { control, leader } = this.options;
    consensus.measureCommand(command);
    return control.callLeader(
      () => leader.propose(command),
      (api) => api.propose.mutate(command, { context: { deadlineMs: LEADER_DEADLINE_MS } }),
    );
  }

  private async showStatus(res: http.ServerResponse): Promise<void> {
    const { control, leader } = this.options;
    const status = await control.callLeader(
      async () => leader.describeStatus(),
      (api) => api.status.mutate(undefined, { context: { deadlineMs: LEADER_DEADLINE_MS } }),
    );
    requests.sendJson(res, 200, status);
  }

  private async refoundClaims(res: http.ServerResponse): Promise<void> {
    const { control, leader } = this.options;
    await control.callLeader(
      () => leader.refoundClaims(),
      (api) => api.refoundClaims.mutate(undefined, { context: { deadlineMs: LEADER_DEADLINE_MS } }),
    );
    requests.sendJson(res, 200, {});
  }

  private async changeVoters(req: requests.ApiRequest, res: http.ServerResponse): Promise<void> {
    const raw = await this.readBody(req, res);
    const change = requests.parseJson(peerRouters.voterChange, raw);
    const { control } = this.options;
    await control.callLeader(
      () => control.changeVoters(change),
      (api) => api.changeVoters.mutate(change, { context: { deadlineMs: LEADER_DEADLINE_MS } }),
    );
    requests.sendJson(res, 200, {});
  }
}
