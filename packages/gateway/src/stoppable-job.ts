import type * as http from 'node:http';

import type * as schemas from '@bramleyridge/schemas';

import * as plannedStops from './planned-stop.js';
import type * as routedJobs from './routed-job.js';

/** What a planned stop depends on for a call. */
export interface StoppableJobOptions {
  readonly stop: plannedStops.PlannedStop;
  readonly res: http.ServerResponse;
  readonly isRepeatable: () => boolean;
}

/** A routed call that a planned stop may end, or for which it may forbid another attempt. */
export class StoppableJob implements plannedStops.StoppableCall {
  /** Aborted when the choice of an upstream that goes on now is in vain. */
  private choice: AbortController | undefined;

  public constructor(
    private readonly job: routedJobs.RoutedJob,
    private readonly options: StoppableJobOptions,
  ) {}

  public get endsAt(): number {
    return this.job.call.endsAt;
  }

  public get targetMs(): number {
    return this.job.call.route.targetMs;
  }

  public get isStream(): boolean {
    return this.job.call.route.isStream;
  }

  public isRepeatable(): boolean {
    return this.options.isRepeatable();
  }

  public isSent(): boolean {
    return this.job.upstreamId !== undefined;
  }

  public isAnswered(): boolean {
    return this.options.res.headersSent;
  }

  public refuse(refusal: schemas.Refusal): void {
    // An earlier attempt may have run the call, so only its next attempt is refused.
    const refused = this.isSent() ? this.choice : this.job.abort;
    refused?.abort(refusal);
  }

  public end(refusal: schemas.Refusal): void {
    this.job.abort.abort(refusal);
  }

  /**
   * Runs the choice of an upstream for the next attempt; rejects with a refusal once nothing may be passed on any more.
   * What was chosen in vain is discarded.
   */
  public async choose<T>(
    choose: (signal: AbortSignal) => Promise<T>,
    discard: (chosen: T) => void,
  ): Promise<T> {
    const { stop } = this.options;
    const choice = new AbortController();
    if (!stop.mayPassOn(this)) {
      throw plannedStops.createStoppingRefusal();
    }
    this.choice = choice;
    try {
      const chosen = await choose(AbortSignal.any([this.job.abort.signal, choice.signal]));
      if (choice.signal.aborted || !stop.mayPassOn(this)) {
        discard(chosen);
        throw plannedStops.createStoppingRefusal();
      }
      return chosen;
    } finally {
      this.choice = undefined;
    }
  }
}
