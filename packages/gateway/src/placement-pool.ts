import * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';

import * as generationReturnTimes from './generation-return-times.js';

/** A generation that waits for placement, with its answer. */
export interface WaitingPlacement extends routing.QueuedPlacement {
  readonly settle: (placed: routing.Placement | undefined) => void;
}

/** A run that waits for its migration, with its answer. */
export interface WaitingMigration extends routing.MigrationCandidate {
  readonly settle: (targetEngineId: string | undefined) => void;
}

/** The weights of teams in shares of scarce capacity. */
export interface ShareWeights {
  /** Whether capacity is shared among teams. */
  isSharing(): boolean;
  /** Returns the weight of a team. */
  get(team: string): number;
}

/** The engines of one service, with the generations that wait for them. */
export class PlacementPool {
  public readonly ledger = new routing.EngineLedger();
  public readonly migrations = new routing.MigrationScheduler<WaitingMigration>(this.ledger);
  public isRetrying = false;
  public listed: readonly schemas.ListedUpstream[] | undefined;
  /** Whether this leader has read a list; until then the engines listed in a former leadership are kept. */
  public hasList = false;
  public evacuationRevision = 0;
  /** Memory of one engine, in tokens. */
  public memoryTokens = 0;
  private readonly queue = new routing.PlacementQueue<WaitingPlacement>(this.ledger);
  private isShared = false;

  /** When generations that found no capacity may return. */
  public readonly returnTimes: generationReturnTimes.GenerationReturnTimes;

  public constructor(
    private readonly weights: ShareWeights,
    random: () => number,
  ) {
    this.returnTimes = new generationReturnTimes.GenerationReturnTimes(random);
  }

  /** Number of generations that wait for placement. */
  public get waitingCount(): number {
    return this.queue.size;
  }

  /** Adds a generation that waits for placement. */
  public add(waiting: WaitingPlacement): void {
    this.queue.add(waiting);
  }

  /** Places and migrates all that can be now, and answers them and those whose wait is over. */
  public dispatch(now: number): void {
    this.setOrder();
    this.queue.dispatch(now).forEach(({ placed, queued }) => queued.settle(placed));
    this.migrations.dispatch(now).forEach(({ run, targetEngineId }) => run.settle(targetEngineId));
  }

  /** Orders the queue as the settings say, which may change while generations wait. */
  private setOrder(): void {
    const { ledger, weights } = this;
    const isShared = weights.isSharing();
    if (isShared === this.isShared) {
      return;
    }
    this.isShared = isShared;
    this.queue.setOrder(
      isShared
        ? new routing.FairShareOrder({
            ledger,
            getWeight: (team) => weights.get(team),
            getMemoryTokens: () => this.memoryTokens,
          })
        : new routing.DueDateOrder(ledger),
    );
  }
}
