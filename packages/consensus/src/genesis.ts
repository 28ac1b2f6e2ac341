import * as crypto from 'node:crypto';

import type * as schemas from '@bramleyridge/schemas';

import * as batchFrame from './batch-frame.js';
import type * as fileStorage from './file-storage.js';
import type * as types from './types.js';

const GENESIS_FILE = 'identity';

/** Time between two rounds of requests to the other hosts, in milliseconds. */
const RETRY_INTERVAL_MS = 200;

/** The identity of a data directory. */
export interface Genesis {
  /** A random id that the data directory gets when it is created. */
  readonly voterId: string;
  /** The initial voters; empty until they are agreed. */
  readonly voters: readonly types.VoterSlot[];
  /**
   * The hosts that may bootstrap the log. Stored, so that a host that restarts before bootstrap is still one of them.
   */
  readonly founders?: readonly string[];
}

/** Options of `agreeGenesis`. */
export interface GenesisOptions {
  readonly files: fileStorage.FileStorage;
  readonly identity: Genesis;
  readonly daemonId: string;
  /** The hosts that bootstrap the log; empty on a host that may only join an existing one. */
  readonly founders: readonly string[];
  /** Lists the peers that are known so far. */
  readonly listPeers: () => readonly string[];
  readonly fetchGenesis: FetchGenesis;
  readonly clock: schemas.Clock;
  readonly signal: AbortSignal;
}

/** Fetches the genesis of a peer. */
export type FetchGenesis = (peer: string) => Promise<Genesis>;

/** Reads the identity of a data directory, or creates one if the directory is empty. */
export async function openIdentity(
  files: fileStorage.FileStorage,
  founders: readonly string[] = [],
): Promise<Genesis> {
  const bytes = await files.read(GENESIS_FILE);
  const [known] =
    bytes === undefined ? [] : batchFrame.decodeBatchFile(GENESIS_FILE, bytes).batches;
  if (known !== undefined) {
    return known as Genesis;
  }
  const created: Genesis = { voterId: crypto.randomUUID(), voters: [], founders };
  await files.replace(GENESIS_FILE, batchFrame.encodeBatch(created));
  return created;
}

/**
 * Agrees on the initial voters. A host that lost its disk must not vote: with an empty log it could elect a leader
 * that lacks acknowledged entries. Therefore a data directory gets a random id, the initial voters are identified by
 * these ids, and the founder with the lowest name fixes them once, after all founders have answered. A directory that
 * is recreated gets a different id, is not among the voters, and can't vote until it is added. Other hosts than the
 * founders only join: otherwise three empty hosts that know only each other would bootstrap a second log.
 */
export async function agreeGenesis(options: GenesisOptions): Promise<Genesis> {
  const {
    files,
    identity,
    daemonId,
    founders,
    listPeers,
    fetchGenesis: fetchFrom,
    clock,
    signal,
  } = options;
  if (identity.voters.length > 0) {
    return identity;
  }
  const isInitiator = founders.includes(daemonId) && founders.every((peer) => daemonId <= peer);
  const otherFounders = founders.filter((peer) => peer !== daemonId);
  for (;;) {
    const others = [...new Set([...otherFounders, ...listPeers()])].filter(
      (peer) => peer !== daemonId,
    );
    const responses = await Promise.all(
      others.map((peer) => fetchFrom(peer).catch(() => undefined)),
    );
    const agreed = responses.find(
      (response) => response !== undefined && response.voters.length > 0,
    );
    const voters =
      agreed?.voters ??
      (isInitiator ? collectVoters(daemonId, identity, otherFounders, responses) : undefined);
    if (voters !== undefined) {
      const genesis: Genesis = { voterId: identity.voterId, voters };
      await files.replace(GENESIS_FILE, batchFrame.encodeBatch(genesis));
      return genesis;
    }
    await clock.sleep(RETRY_INTERVAL_MS, signal);
  }
}

function collectVoters(
  daemonId: string,
  identity: Genesis,
  others: readonly string[],
  responses: readonly (Genesis | undefined)[],
): types.VoterSlot[] | undefined {
  const slots = others.map((peer, i) => ({ daemonId: peer, voterId: responses[i]?.voterId }));
  const isWhole = slots.every((slot) => slot.voterId !== undefined);
  return isWhole
    ? [{ daemonId, voterId: identity.voterId }, ...(slots as types.VoterSlot[])]
    : undefined;
}
