/** An engine that may be given work. */
export interface LedgerEngine {
  readonly engineId: string;
  /** When its process started, where it is told; a later start under the same name holds nothing of before. */
  readonly bornMs?: number | undefined;
  readonly memoryTokens: number;
  readonly slots: number;
  readonly availabilityZone: string;
  /** The new generations a second that it bears at any time, and while it is cold; without limits where it is not told. */
  readonly sendsPerS?: { readonly most: number; readonly cold: number } | undefined;
  /** Until when it is known to be cold. */
  readonly coldUntil?: number;
  /** Set where nothing new may be sent; what runs there goes on to its end. */
  readonly isClosed?: boolean;
}

/** A generation that is to be placed. */
export interface PlacementSpec {
  readonly callId: string;
  /** The availability zone of the entry host that has the caller. */
  readonly availabilityZone: string;
  readonly promptTokens: number;
  /** The estimate of the answer's tokens. */
  readonly answerTokens: number;
  /** The most time that it may still take, in milliseconds. */
  readonly leftMs: number;
  readonly excluded: readonly string[];
  /** The engine on which it goes on or runs already; it is entered there whatever the room. */
  readonly fixedEngineId?: string | undefined;
  /** Set where it runs there already and is only told, so that nothing is sent now. */
  readonly isUnderWay?: boolean | undefined;
  readonly wantsCopy: boolean;
  /** How long it has run already, in milliseconds. */
  readonly ranMs: number;
}

/** Where a generation was placed, and who keeps its copy. */
export interface Placement {
  readonly engineId: string;
  readonly copyAt: string | undefined;
  /** The forecast share of the engine's memory, with this generation. */
  readonly share: number;
}

/**
 * Up to how many tokens an answer is short. Short ones take under half a second: few are hit by the loss of an
 * engine, and copies arrive only several times a second, so none is kept.
 */
export const SHORT_ANSWER_TOKENS = 60;

/** Whether a generation's answer is short. */
export function hasShortAnswer(need: PlacementSpec): boolean {
  return need.answerTokens <= SHORT_ANSWER_TOKENS;
}
