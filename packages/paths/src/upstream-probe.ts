import type * as stream from 'node:stream';

import * as boundedClients from './bounded-client.js';
import * as createConnectors from './create-connector.js';

/** A request that any upstream answers without effects. */
export interface ProbeRequest {
  readonly method: 'GET' | 'HEAD';
  readonly path: string;
}

/** Names of errors about bytes that were received. */
const RECEIVED_ERRORS = new Set([
  'WrongHeadError',
  'HTTPParserError',
  'ResponseContentLengthMismatchError',
]);

/**
 * Returns whether an upstream answers a request on a new connection within `timeoutMs`, whatever it answers. An answer that
 * HTTP does not allow shows as well that the connection leads to the upstream.
 */
export async function isAnswered(
  address: string,
  { method, path }: ProbeRequest,
  open: () => Promise<stream.Duplex>,
  timeoutMs: number,
): Promise<boolean> {
  const client = new boundedClients.BoundedClient(`http://${address}`, {
    connect: createConnectors.createConnector(open),
  });
  try {
    const signal = AbortSignal.timeout(timeoutMs);
    const res = await client.request({ method, path, reset: true, signal });
    res.body.on('error', () => {});
    res.body.destroy();
    return true;
  } catch (err) {
    return err instanceof Error && RECEIVED_ERRORS.has(err.name);
  } finally {
    client.destroy().catch(() => {});
  }
}
