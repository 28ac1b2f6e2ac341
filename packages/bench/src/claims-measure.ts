import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

/** Numbers of retained claims at which a claim acceptor is measured. */
const CLAIM_COUNTS = [20_000, 60_000, 180_000] as const;

/** Memory and processor time of a claim acceptor at one number of claims. */
export interface ClaimRow {
  readonly claims: number;
  readonly heapMb: number;
  readonly usPerClaim: number;
}

/** Creates a claim value of the size that it has in a large deployment. */
export function createClaimValue(i: number): requests.ClaimValue {
  return {
    call: `region-one-a.region-one-a-17.mj3k2l1a.${i.toString(36)}.engine-region-one-a-42.0123456789ab`,
    daemonId: 'region-one-a-17',
    incarnation: 1_796_235_983_971,
    host: '10.0.0.17',
    peerPort: 7_000,
    upstreamId: 'engine-region-one-a-42',
    requestHash: '0123456789abcdef0123456789abcdef',
  };
}

function createAcceptor(): requests.ClaimAcceptor {
  const neverResolve = () => new Promise<never>(() => {});
  const acceptor = new requests.ClaimAcceptor({
    daemonId: 'd1',
    incarnation: 1,
    clock: new schemas.VirtualClock(),
    log: new schemas.SilentLog(),
    transport: { claim: neverResolve, recover: neverResolve },
  });
  const acceptors = ['d1', 'd2', 'd3', 'd4', 'd5'].map((daemonId) => ({ daemonId, since: 1 }));
  acceptor.configure(
    acceptors,
    acceptors.map((item) => `${item.daemonId}@1`),
  );
  return acceptor;
}

function measureOne(claims: number): ClaimRow {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const acceptor = createAcceptor();
  const from = performance.now();
  for (let i = 0; i < claims; i += 1) {
    const key = schemas.getSha256(`key-${i}`).slice(0, 40);
    const since = [1, 1, 1, 1, 1];
    acceptor.handleClaim({ key, ballot: [1, 'd1@1'], since });
    acceptor.handleClaim({ key, ballot: [1, 'd1@1'], value: createClaimValue(i), since });
  }
  const ms = performance.now() - from;
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - before) / 2 ** 20;
  return { claims: acceptor.getSize(), heapMb, usPerClaim: (1_000 * ms) / claims };
}

/** Measures memory and processor time of a claim acceptor by the number of claims that it retains. */
export function measureClaims(): ClaimRow[] {
  return CLAIM_COUNTS.map(measureOne);
}
