import type * as http from 'node:http';

import * as servers from './fake-server.js';

/** Test double of a service such as a booking application or a caseworker portal. */
export class FakeService {
  /** Number of executed confirms of each booking. */
  public readonly confirms = new Map<string, number>();
  /** Arrival times of the reads of slots, in milliseconds. */
  public readonly readAt: number[] = [];
  public readonly faults = {
    refuse: false,
    resetAfterRead: false,
    answerDelayMs: 0,
    /** Calls per second that its answers name as its limit; none if empty. */
    rateLimit: '',
    /** Seconds of rest for which it asks as it turns reads away; none if empty. */
    rest: '',
    /** Whether its answers state that it leaves. */
    isLeaving: false,
  };
  private readonly server = new servers.FakeServer({
    'POST /confirms': (req, res) => this.confirm(req, res),
    'GET /slots/:slot': (req, res) => this.readSlot(req, res),
    'GET /record': (_req, res) => servers.sendJson(res, 200, Object.fromEntries(this.confirms)),
    'POST /faults': (req, res) => {
      Object.assign(this.faults, servers.parseBody(req));
      servers.sendJson(res, 200, this.faults);
    },
  });

  /** Starts to listen and returns the address. */
  public async listen(): Promise<string> {
    return this.server.listen(0);
  }

  /** Closes the server and every connection at once, as a killed process does. */
  public kill(): void {
    this.server.kill();
  }

  private readSlot(req: servers.FakeRequest, res: http.ServerResponse): void {
    this.readAt.push(performance.now());
    if (this.faults.rateLimit !== '') {
      res.setHeader('x-rate-limit', this.faults.rateLimit);
    }
    if (this.faults.isLeaving) {
      res.setHeader('x-leaving', '1');
    }
    if (this.faults.rest !== '') {
      res.setHeader('retry-after', this.faults.rest);
      res.setHeader('x-not-run', '1');
      servers.sendJson(res, 503, { error: { message: 'not run' } });
      return;
    }
    servers.sendJson(res, 200, { slot: req.params.slot, free: true });
  }

  private async confirm(req: servers.FakeRequest, res: http.ServerResponse): Promise<void> {
    if (this.faults.refuse) {
      res.setHeader('x-not-run', '1');
      servers.sendJson(res, 503, { error: { message: 'not run' } });
      return;
    }
    const { booking } = servers.parseBody(req) as { booking: string };
    this.confirms.set(booking, (this.confirms.get(booking) ?? 0) + 1);
    if (this.faults.resetAfterRead) {
      req.socket.destroy();
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, this.faults.answerDelayMs);
    });
    servers.sendJson(res, 200, { booking, confirmed: true, count: this.confirms.get(booking) });
  }
}
