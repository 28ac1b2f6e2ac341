import type * as callAdmissions from './call-admission.js';

/**
 * Time for which no upstream may be heard while a call waits, before its path is checked, in milliseconds; calls to
 * plain services have twice their latency target if that is more. Prompts may wait for seconds at engines.
 */
const CALL_PATIENCE_MS = 300;
const STREAM_PATIENCE_MS = 1_500;

/** Returns the time for which no upstream may be heard while a call waits, in milliseconds. */
export function getPatienceMs({ route }: callAdmissions.AdmittedCall): number {
  return route.isStream ? STREAM_PATIENCE_MS : Math.max(CALL_PATIENCE_MS, 2 * route.targetMs);
}
