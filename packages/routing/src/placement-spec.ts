/** An engine that may be given work. */
export interface LedgerEngine {
  readonly engineId: string;
  /**
   * Start time of its process, if reported. A later start under the same name means that all
   * earlier runs and backups are gone.
   */
  readonly bornMs?: number | undefined;
  readonly memoryTokens: number;
  readonly slots: number;
  readonly availabilityZone: string;
  /**
   * New generations per second that it sustains, always (`most`) and while it is cold; unlimited if
   * not declared.
   */
  readonly sendsPerS?: { readonly most: number; readonly cold: number } | undefined;
  /** Time until which it is known to be cold. */
  readonly coldUntil?: number;
  /** Set if no new work may be sent; its runs continue to their end. */
  readonly isClosed?: boolean;
}

/** A generation to be placed. */
export interface PlacementSpec {
  readonly callId: string;
  /** Availability zone of the entry host that serves the caller. */
  readonly availabilityZone: string;
  readonly promptTokens: number;
  /** Estimated number of tokens of the answer. */
  readonly answerTokens: number;
  /** Maximum remaining time, in milliseconds. */
  readonly leftMs: number;
  readonly excluded: readonly string[];
  /**
   * The engine on which it resumes or already runs; it is recorded there regardless of capacity.
   */
  readonly fixedEngineId?: string | undefined;
  /** Set if it already runs there and is only reported, so that nothing is sent now. */
  readonly isUnderWay?: boolean | undefined;
  /** Longest gap between two of its events that is on time, in milliseconds, if its route has one. */
  readonly gapTargetMs?: number | undefined;
  /** Whether a KV-cache backup of it should be kept. */
  readonly wantsCopy: boolean;
  /** How long it has already run, in milliseconds. */
  readonly ranMs: number;
}

/** The result of placing a generation. */
export interface Placement {
  readonly engineId: string;
  /** The engine that keeps its KV-cache backup; `undefined` if none does. */
  readonly copyAt: string | undefined;
  /** Forecast share of the engine's memory, including this generation. */
  readonly share: number;
}

/**
 * Maximum number of tokens of a short answer. Short answers take less than half a second: the loss
 * of an engine affects few of them, and backups are updated only several times a second, so none is
 * kept.
 */
export const SHORT_ANSWER_TOKENS = 60;

/** Whether the answer of a generation is short. */
export function hasShortAnswer(spec: PlacementSpec): boolean {
  return spec.answerTokens <= SHORT_ANSWER_TOKENS;
}
