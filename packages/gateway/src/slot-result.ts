import * as requests from '@bramleyridge/requests';

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

/** Returns how a streamed answer that has ended used its slot. */
export function getStreamResult(
  hasFailed: boolean,
  isStoppedHere: boolean,
): slotMessages.SlotResult {
  const broken = isStoppedHere ? 'unused' : 'failed';
  return hasFailed ? broken : 'answered';
}
