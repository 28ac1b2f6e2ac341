import * as schemas from '@bramleyridge/schemas';

import type * as callAdmissions from './call-admission.js';
import type * as ports from './ports.js';

/** Maximum number of parts of one prompt that are tracked; callers may name any number. */
const MAX_PARTS = 16;

/** Maximum length of the text that identifies a part before it is hashed, in characters. */
const MAX_ID_CHARS = 96;

/** Returns the parts of a call's prompt that other calls may share; the last part belongs to the call or its session. */
export function listSharedParts({
  facts,
}: Pick<callAdmissions.AdmittedCall, 'facts'>): ports.GenerationFacts['prefixParts'] {
  return facts.generation?.prefixParts.slice(0, -1).slice(0, MAX_PARTS) ?? [];
}

/**
 * Returns the ids under which the shared parts of a call's prompt are recorded. A part may crash the engines of one
 * service or model only, so both belong to the id.
 */
export function listPartSubjects(
  call: Pick<callAdmissions.AdmittedCall, 'facts' | 'service'>,
): string[] {
  const model = call.facts.generation?.model ?? '';
  const ids = listSharedParts(call).map(({ partId }) =>
    createSubject(call.service.name, model, partId),
  );
  return [...new Set(ids)];
}

function createSubject(service: string, model: string, partId: string): string {
  const text = JSON.stringify([service, model, partId]);
  return `part:${text.length > MAX_ID_CHARS ? schemas.getContentHash(text) : text}`;
}
