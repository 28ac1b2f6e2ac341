import type * as members from '@bramleyridge/members';
import * as requests from '@bramleyridge/requests';
import type * as schemas from '@bramleyridge/schemas';

/**
 * Throws an error of the kind `withheld` if an upstream is listed as leaving. It was chosen some time before the send, by
 * another daemon or before a wait, and gets no new work.
 */
export function checkStays(view: members.ZoneView, { upstreamId }: schemas.Upstream): void {
  const listed = view.getDirectory().upstreams.find((item) => item.upstreamId === upstreamId);
  if (listed?.state === 'leaving') {
    throw new requests.UpstreamError('withheld', 'send', upstreamId);
  }
}
