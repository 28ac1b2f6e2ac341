import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';

/** How many claims a seat remembers when it is measured. */
const CLAIM_COUNTS = [20_000, 60_000, 180_000] as const;

/** What a seat of the claim group costs at one size. */
export interface ClaimRow {
  readonly claims: number;
  readonly heapMb: number;
  readonly usPerClaim: number;
}

/** A claim's value of the size that it has in a large deployment. */
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
  const never = () => new Promise<never>(() => {});
  const seat = new requests.ClaimAcceptor({
    daemonId: 'd1',
    incarnation: 1,
    clock: new schemas.VirtualClock(),
    log: new schemas.SilentLog(),
    transport: { claim: never, recover: never },
  });
  const seats = ['d1', 'd2', 'd3', 'd4', 'd5'].map((daemonId) => ({ daemonId, since: 1 }));
  seat.configure(
    seats,
    seats.map((item) => `${item.daemonId}@1`),
  );
  return seat;
}

function measureOne(claims: number): ClaimRow {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const seat = createAcceptor();
  const from = performance.now();
  for (let i = 0; i < claims; i += 1) {
    const key = schemas.getSha256(`key-${i}`).slice(0, 40);
    const since = [1, 1, 1, 1, 1];
    seat.handleClaim({ key, ballot: [1, 'd1@1'], since });
    seat.handleClaim({ key, ballot: [1, 'd1@1'], value: createClaimValue(i), since });
  }
  const ms = performance.now() - from;
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - before) / 2 ** 20;
  return { claims: seat.getSize(), heapMb, usPerClaim: (1_000 * ms) / claims };
}

/** Memory and processor time of a seat of the claim group, by how many claims it remembers. */
export function measureClaims(): ClaimRow[] {
  return CLAIM_COUNTS.map(measureOne);
}
