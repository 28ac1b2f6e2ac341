import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

/** Creates the gate of a host that meets no limits. */
export function createGate(): requests.UpstreamGate {
  return new requests.UpstreamGate({
    clock: new schemas.SystemClock(),
    log: new schemas.SilentLog(),
  });
}
