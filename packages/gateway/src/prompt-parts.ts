import * as routing from '@bramleyridge/routing';

import type * as callAdmissions from './call-admission.js';
import type * as ports from './ports.js';

/** Maximum number of parts of one prompt that are tracked; callers may name any number. */
const MAX_PARTS = 16;

/** Returns the parts of a call's prompt that other calls may share; the last part belongs to the call or its session. */
export function listSharedParts({
  facts,
}: Pick<callAdmissions.AdmittedCall, 'facts'>): ports.GenerationFacts['prefixParts'] {
  return facts.generation?.prefixParts.slice(0, -1).slice(0, MAX_PARTS) ?? [];
}

/** Returns the ids under which the shared parts of a call's prompt are recorded. */
export function listPartIds(
  call: Pick<callAdmissions.AdmittedCall, 'facts' | 'service'>,
): string[] {
  const model = call.facts.generation?.model ?? '';
  const ids = listSharedParts(call).map(({ partId }) =>
    routing.createPartId(call.service.name, model, partId),
  );
  return [...new Set(ids)];
}
