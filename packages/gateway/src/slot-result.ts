import * as requests from '@bramleyridge/requests';

import type * as heldSlots from './held-slot.js';
import type * as slotMessages from './slot-messages.js';

/**
 * Returns how an attempt that failed used its slot. One that was stopped on this side, or never sent, shows nothing about
 * the upstream.
 */
export function getFailureResult(err: unknown, signal: AbortSignal): slotMessages.SlotResult {
  if (signal.aborted) {
    return 'unused';
  }
  const { kind } = requests.createUpstreamError(err, 'attempt', '');
  const notAnswered = kind === 'withheld' ? 'unused' : 'failed';
  return kind === 'refused' ? 'not-run' : notAnswered;
}

/**
 * Returns what a failed send shows about whether its upstream answers: nothing if it failed in the middle of an answer, if
 * the caller left or nothing was sent, or if only this host has lost its path.
 */
export function getFailureAnswered(
  { hasAnswered }: Pick<heldSlots.SlotEnd, 'hasAnswered'>,
  err: unknown,
  signal: AbortSignal,
): boolean | undefined {
  return hasAnswered === true || signal.aborted
    ? undefined
    : requests.createUpstreamError(err, 'attempt', '').hasAnswer();
}

/**
 * Returns how a whole answer used its slot. One that rejects the call, as with 404, is often sent without any work and
 * doesn't show how long calls take.
 */
export function getAnswerResult(isServed: boolean, isFailure: boolean): slotMessages.SlotResult {
  const notServed = isFailure ? 'failed' : 'unused';
  return isServed ? 'answered' : notServed;
}

/**
 * Returns how a streamed answer that has ended used its slot. It lasts as long as its caller reads, so that one that was
 * complete shows nothing about how long calls take.
 */
export function getStreamResult(
  hasFailed: boolean,
  isStoppedHere: boolean,
): slotMessages.SlotResult {
  return hasFailed && !isStoppedHere ? 'failed' : 'unused';
}
