import * as v8 from 'node:v8';

import * as requests from '@bramleyridge/requests';

/** Shares of the heap that claims and the calls with a key may take. */
const CLAIM_SHARE = 0.25;
const KEYED_CALL_SHARE = 0.125;

/** Returns how many claims fit into their share of the heap. */
export function getDefaultClaims(): number {
  return countInShare(CLAIM_SHARE, requests.CLAIM_BYTES);
}

/** Returns how many calls with a key fit into their share of the heap. */
export function getDefaultKeyedCalls(): number {
  return countInShare(KEYED_CALL_SHARE, requests.CALL_ENTRY_BYTES);
}

function countInShare(share: number, bytes: number): number {
  return Math.floor((v8.getHeapStatistics().heap_size_limit * share) / bytes);
}
