import type * as http from 'node:http';
import type * as stream from 'node:stream';

import type * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

import * as callerStreams from './caller-stream.js';
import type * as handlerContexts from './handler-context.js';
import type * as runGuards from './run-guard.js';

/** A generation to be relayed to a caller. */
export interface RelayTask {
  readonly call: string;
  readonly generation: string;
  readonly team: string;
  /** Identifies the request; undefined if this daemon has only its generation. */
  readonly subject?: requests.RunSubject;
  readonly model: string;
  /** Where its bytes may be processed on their way. */
  readonly place: paths.PlaceRule;
  readonly upstream: schemas.Upstream;
  readonly from: number;
  readonly body: stream.Readable | undefined;
  /**
   * Whether this daemon cancels the generation when its caller does not return within the grace
   * period.
   */
  readonly mayCancel: boolean;
}

/** Relays generations to callers, and cancels or leaves running those whose caller disconnected. */
export class GenerationRelay {
  public constructor(private readonly context: handlerContexts.HandlerContext) {}

  /** Streams a generation to a caller. */
  public async stream(task: RelayTask, res: http.ServerResponse): Promise<requests.RelayEnd> {
    const { cfg } = this.context;
    const { generation, model } = task;
    const caller = new callerStreams.CallerStream(res, { generation, model, limits: cfg.limits });
    return this.run(
      task,
      (bytes) => caller.write(bytes),
      () => caller.isConnected(),
      (end) => caller.end(end),
    );
  }

  /** Passes the events of a generation to `add`, for a caller that did not ask for a stream. */
  public async collect(
    task: RelayTask,
    res: http.ServerResponse,
    add: (bytes: Buffer) => void,
  ): Promise<requests.RelayEnd> {
    return this.run(
      task,
      async (bytes) => add(bytes),
      () => !res.destroyed,
      () => {},
    );
  }

  private async run(
    task: RelayTask,
    write: (bytes: Buffer) => Promise<void>,
    isConnected: () => boolean,
    close: (end: requests.RelayEnd) => void,
  ): Promise<requests.RelayEnd> {
    const { adoptions, cfg, clock, engines, poolClient, log } = this.context;
    adoptions.register(task.generation, isConnected);
    const sentAt = clock.now();
    let answerStartedAt: number | undefined;
    let progress = task.from;
    const getAnswerMs = () =>
      answerStartedAt === undefined ? undefined : clock.now() - answerStartedAt;
    const relay = requests.relayGeneration(
      {
        engines,
        upstream: task.upstream,
        generation: task.generation,
        from: task.from,
        place: task.place,
        silenceMs: cfg.limits.upstreamSilenceMs,
        clock,
        log,
        onProgress: (next) => {
          answerStartedAt ??= clock.now();
          progress = next;
          poolClient.recordProgress(task.call, next);
          this.recordProgress(task, getAnswerMs());
        },
        onLost: () => this.recordLost(task, { sentAt, answerMs: getAnswerMs() }),
      },
      task.body,
    );
    try {
      const end = await this.pump(relay, write, isConnected, () => progress);
      if (end !== undefined) {
        close(end);
        poolClient.release(task.call, end.outcome === 'complete');
        this.recordOutcome(task, end);
        this.recordServed(task, end);
        return end;
      }
      await relay.return({ outcome: 'incomplete', next: 0 });
      return await this.awaitAdoption(task);
    } finally {
      adoptions.remove(task.generation);
      poolClient.release(task.call, false);
    }
  }

  private recordProgress({ subject }: RelayTask, answerMs = 0): void {
    if (subject !== undefined) {
      this.context.guard.recordProgress(subject, answerMs);
    }
  }

  /** Reports a broken connection to the guard, at once: the generation is resumed for seconds before it is given up. */
  private recordLost({ subject, upstream }: RelayTask, run: runGuards.LostRun): void {
    if (subject !== undefined) {
      this.context.guard.recordLost(subject, upstream, run);
    }
  }

  private recordServed({ subject }: RelayTask, { outcome }: requests.RelayEnd): void {
    if (subject !== undefined && outcome === 'complete') {
      this.context.guard.recordServed(subject);
    }
  }

  private async pump(
    relay: AsyncGenerator<Buffer, requests.RelayEnd>,
    write: (bytes: Buffer) => Promise<void>,
    isConnected: () => boolean,
    getProgress: () => number,
  ): Promise<requests.RelayEnd | undefined> {
    for (;;) {
      const step = await relay.next();
      if (step.done) {
        return step.value;
      }
      await write(step.value);
      if (!isConnected()) {
        return undefined;
      }
      // The generation goes on, and the caller can resume it at another daemon.
      if (this.context.stop.isOver()) {
        await relay.return({ outcome: 'incomplete', next: 0 });
        return { outcome: 'incomplete', next: getProgress() };
      }
    }
  }

  /**
   * Handles the disconnect of the caller. Within the grace period the caller may resume the
   * generation through any daemon, which then adopts it. Otherwise the generation is cancelled, so
   * that the engine does not spend memory on output that nobody receives.
   */
  private async awaitAdoption(task: RelayTask): Promise<requests.RelayEnd> {
    const { adoptions, cfg, clock, engines, log } = this.context;
    const { generation, upstream } = task;
    const graceMs = cfg.limits.callerGraceMs;
    const isAdopted =
      !task.mayCancel || (await adoptions.waitForAdoption(generation, clock, graceMs));
    const end: requests.RelayEnd = { outcome: 'incomplete', next: 0 };
    if (isAdopted) {
      return end;
    }
    this.recordOutcome(task, end);
    try {
      await engines.cancel(upstream, generation, task.place);
    } catch (err) {
      log.warn({ step: 'cancel', peer: upstream.upstreamId, err: schemas.toError(err).message });
    }
    return end;
  }

  private recordOutcome(task: RelayTask, end: requests.RelayEnd): void {
    const { cfg, decisions, metrics } = this.context;
    metrics.count('requests', { outcome: end.outcome, team: task.team });
    decisions.record({
      decision: 'outcome',
      request: task.generation,
      team: task.team,
      availabilityZone: cfg.availabilityZone,
      upstream: task.upstream.upstreamId,
      reason: end.outcome,
      events: end.next,
      step: end.err?.id,
    });
  }
}
