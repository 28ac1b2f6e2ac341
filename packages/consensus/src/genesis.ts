import * as crypto from 'node:crypto';

import type * as schemas from '@bramleyridge/schemas';

import * as batchFrame from './batch-frame.js';
import type * as fileStorage from './file-storage.js';
import type * as foundings from './founding.js';
import type * as types from './types.js';

const GENESIS_FILE = 'identity';

/** Time between two rounds of requests to the other hosts, in milliseconds. */
const RETRY_INTERVAL_MS = 200;

/** Time after which a majority of the founders agrees without the others, in milliseconds. */
const INCOMPLETE_AFTER_MS = 2_000;

/** Time that each founder in turn has to propose the voters before the next one does so too, in milliseconds. */
const TURN_MS = 4_000;

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
  /** Highest proposal for the initial voters that this founder has promised to follow. */
  readonly promised?: foundings.FoundingBallot | undefined;
  /** Initial voters that this founder has accepted last. */
  readonly accepted?: foundings.AcceptedFounding | undefined;
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
  /**
   * The agreement of a majority of the founders, for hosts that know whether their disk is that of the first start. Without
   * it, all founders have to answer.
   */
  readonly founding?:
    { readonly agreement: foundings.Founding; readonly send: foundings.SendFounding } | undefined;
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
  await storeIdentity(files, created);
  return created;
}

/** Replaces the identity of a data directory. */
export function storeIdentity(files: fileStorage.FileStorage, identity: Genesis): Promise<void> {
  return files.replace(GENESIS_FILE, batchFrame.encodeBatch(identity));
}

/**
 * Agrees on the initial voters. A host that lost its disk must not vote: with an empty log it could elect a leader
 * that lacks acknowledged entries. Therefore a data directory gets a random id, the initial voters are identified by
 * these ids, and they are fixed once. Where a host knows whether it is a founder (`founding`), a majority of the founders
 * fixes them, proposed by each of its hosts in turn, and all of these that answer are voters; otherwise the founder with
 * the lowest name does, after all have answered. A directory that is recreated gets a different id, is not among the
 * voters, and can't vote until it is added. Other hosts than the founders only join: otherwise three empty hosts that
 * know only each other would bootstrap a second log.
 */
export async function agreeGenesis(options: GenesisOptions): Promise<Genesis> {
  const { clock, identity, signal } = options;
  if (identity.voters.length > 0) {
    return identity;
  }
  const proposer = crypto.randomUUID();
  const startedAt = clock.now();
  for (;;) {
    const responses = await fetchAll(options);
    const agreed = [...responses.values()].find(({ voters }) => voters.length > 0)?.voters;
    const waitedMs = clock.now() - startedAt;
    const voters = agreed ?? (await foundLog(options, responses, { waitedMs, proposer }));
    if (voters !== undefined) {
      return storeVoters(options, voters);
    }
    await clock.sleep(RETRY_INTERVAL_MS, signal);
  }
}

async function storeVoters(
  { files, founding, identity }: GenesisOptions,
  voters: readonly types.VoterSlot[],
): Promise<Genesis> {
  if (founding !== undefined) {
    return founding.agreement.agree(voters);
  }
  const genesis: Genesis = { voterId: identity.voterId, voters };
  await storeIdentity(files, genesis);
  return genesis;
}

async function fetchAll({
  daemonId,
  fetchGenesis,
  founders,
  listPeers,
}: GenesisOptions): Promise<ReadonlyMap<string, Genesis>> {
  const peers = new Set([...founders, ...listPeers()]);
  peers.delete(daemonId);
  const responses = await Promise.all(
    [...peers].map(async (peer) => {
      const response = await fetchGenesis(peer).catch(() => undefined);
      return response === undefined ? [] : [[peer, response] as const];
    }),
  );
  return new Map(responses.flat());
}

/** Fixes the initial voters, if it is this host's turn; returns `undefined` if they aren't fixed. */
async function foundLog(
  options: GenesisOptions,
  responses: ReadonlyMap<string, Genesis>,
  { proposer, waitedMs }: { readonly proposer: string; readonly waitedMs: number },
): Promise<readonly types.VoterSlot[] | undefined> {
  const { daemonId, founders, founding, identity } = options;
  const present = founders.filter((peer) => {
    const response = peer === daemonId ? identity : responses.get(peer);
    return response !== undefined && (founding === undefined || isFounder(response));
  });
  // Those that precede this host may answer and yet be unable to propose, as with a disk that fails.
  const turns = present.filter((peer) => peer < daemonId).length;
  const isTurn = turns === 0 || (founding !== undefined && waitedMs >= turns * TURN_MS);
  const isLate = founding !== undefined && waitedMs >= INCOMPLETE_AFTER_MS;
  const isMajority = isLate && present.length > founders.length / 2;
  if (
    !founders.includes(daemonId) ||
    !isTurn ||
    (present.length < founders.length && !isMajority)
  ) {
    return undefined;
  }
  const others = present.filter((peer) => peer !== daemonId);
  const voters = [daemonId, ...others].map((peer) => ({
    daemonId: peer,
    voterId: responses.get(peer)?.voterId ?? identity.voterId,
  }));
  if (founding === undefined) {
    return voters;
  }
  const { agreement, send } = founding;
  return agreement.propose(voters, proposer, (req) =>
    Promise.all(
      founders.map((peer) =>
        (peer === daemonId ? agreement.handle(req) : send(peer, req)).catch(() => undefined),
      ),
    ),
  );
}

function isFounder({ founders = [] }: Genesis): boolean {
  return founders.length > 0;
}
