import * as routing from '@bramleyridge/routing';

import type * as callAdmissions from './call-admission.js';

/** Average answer length as a share of the maximum, used where the caller gives no estimate. */
const MEAN_ANSWER_SHARE = 0.5;

/**
 * Returns whether a call's generation is to have a continuous KV-cache backup. None for short
 * answers, which cost less to run again, and only a stream of events can go on elsewhere after its caller's last event.
 */
export function wantsBackup(call: callAdmissions.AdmittedCall): boolean {
  const { engine } = call.service;
  if (!call.route.isStream) {
    return false;
  }
  const hasBackupSupport = isGeneration(call) && engine?.canBackUp === true && engine.canMove;
  return hasBackupSupport && getExpectedAnswerTokens(call) > routing.SHORT_ANSWER_TOKENS;
}

/** Returns whether a call is a generation on an engine. */
export function isGeneration({ facts, service }: callAdmissions.AdmittedCall): boolean {
  return facts.generation !== undefined && service.engine !== undefined;
}

/** Returns the memory that a call is expected to use on an engine, in tokens; 0 for calls that are no generations. */
export function getExpectedTokens(call: callAdmissions.AdmittedCall): number {
  return (call.facts.generation?.promptTokens ?? 0) + getExpectedAnswerTokens(call);
}

/** Returns the expected length of a call's answer, in tokens; 0 for calls that are no generations. */
export function getExpectedAnswerTokens({ facts }: callAdmissions.AdmittedCall): number {
  if (facts.generation === undefined) {
    return 0;
  }
  const { hintTokens, maxTokens } = facts.generation;
  return Math.min(hintTokens ?? maxTokens * MEAN_ANSWER_SHARE, maxTokens);
}

/** Returns the priority of a generation, from its team or else its route; 0 is served first. */
export function getPriority({ route, team }: callAdmissions.AdmittedCall): number {
  return team?.urgency ?? route.urgency;
}

/**
 * Returns the priority of a generation at its engine; set only for fallback placement. Generations placed by the leader
 * get no priority: an engine whose memory runs out preempts those of lower priority, so that an urgent generation of a
 * few tokens would make a long one repeat the prefill of its 3,000 tokens. Without priorities, half as many generations
 * were preempted: 16 instead of 34 in eight days at six engines.
 */
export function getEnginePriority(
  call: callAdmissions.AdmittedCall,
  isFallback: boolean,
): number | undefined {
  return isGeneration(call) && isFallback ? getPriority(call) : undefined;
}
