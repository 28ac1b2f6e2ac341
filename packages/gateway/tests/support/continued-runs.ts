import type * as http from 'node:http';

/** How the engine that a call reaches first, and the one it reaches next, behave. */
export interface RunPlan {
  /**
   * Sends nothing, a head only, a head and a comment, or a head and an event, with or without a copy of its memory; then
   * its connection is reset.
   */
  readonly first: 'silent' | 'head' | 'comment' | 'uncopied' | 'event';
  /** Works without an answer, refuses what it has no copy of, or takes the call and ends. */
  readonly second: 'hangs' | 'checks' | 'ends';
  /** Time until the first one ends, in milliseconds. */
  readonly endMs: number;
}

/** Formats an event of a stream. */
export function createEvent(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/**
 * Engines that keep copies of the runs of others. A copy exists once its run has made an event; whoever goes on without
 * one begins another run.
 */
export class ContinuedRuns {
  /** Called with each request that goes on with a run. */
  public onResume: (req: http.IncomingMessage) => void = () => {};
  private readonly plans = new Map<string, RunPlan>();
  private readonly sends = new Map<string, number>();
  private readonly runs = new Map<string, number>();
  private readonly copies = new Map<string, string>();

  /** Sets how engines behave for a call. */
  public plan(callId: string, plan: RunPlan): void {
    this.plans.set(callId, plan);
  }

  /** Returns how many engines a call has reached. */
  public countSends(callId: string): number {
    return this.sends.get(callId) ?? 0;
  }

  /** Returns how many runs a call has had. */
  public countRuns(callId: string): number {
    return this.runs.get(callId) ?? 0;
  }

  /** Returns the address of the engine that has the copy of a call's run. */
  public findCopyAddress(callId: string): string | undefined {
    return this.copies.get(callId);
  }

  /** Drops all copies, as a restart does. */
  public loseCopies(): void {
    this.copies.clear();
  }

  /** Creates an engine; its address is known once it listens. */
  public createEngine(): { address: string; serve: http.RequestListener } {
    const engine = {
      address: '',
      serve: (req: http.IncomingMessage, res: http.ServerResponse) =>
        this.serve(engine.address, req, res),
    };
    return engine;
  }

  private serve(address: string, req: http.IncomingMessage, res: http.ServerResponse): void {
    const callId = String(req.headers['call-id']);
    const plan = this.plans.get(callId);
    if (plan === undefined) {
      res.writeHead(503, { 'not-run': '1', 'call-id': callId });
      res.end();
      return;
    }
    const sends = this.countSends(callId) + 1;
    this.sends.set(callId, sends);
    if (req.headers['resume-from'] !== undefined) {
      this.onResume(req);
    }
    const hasCopy = req.headers['resume-from'] !== undefined && this.copies.get(callId) === address;
    if (sends > 1 && plan.second === 'checks' && !hasCopy) {
      res.writeHead(503, { 'not-run': '1', 'call-id': callId });
      res.end();
      return;
    }
    this.runs.set(callId, this.countRuns(callId) + Number(!hasCopy));
    if (sends === 1) {
      this.runFirst(plan, req, res);
    } else if (plan.second === 'checks') {
      res.writeHead(200, { 'call-id': callId });
      res.end(createEvent(Number(req.headers['last-event-id']) + 1));
    } else if (plan.second === 'ends') {
      setTimeout(() => req.socket.resetAndDestroy(), plan.endMs);
    }
  }

  private runFirst(
    { endMs, first }: RunPlan,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    const callId = String(req.headers['call-id']);
    const copyAt = req.headers['copy-at']?.toString();
    if (first !== 'silent') {
      res.writeHead(200, { 'call-id': callId });
      res.flushHeaders();
    }
    if (first === 'comment') {
      res.write(': waiting\n\n');
    }
    if (first === 'event' || first === 'uncopied') {
      res.write(createEvent(1));
      if (first === 'event' && copyAt !== undefined) {
        this.copies.set(callId, copyAt);
      }
    }
    setTimeout(() => req.socket.resetAndDestroy(), endMs);
  }
}
