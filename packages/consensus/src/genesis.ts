import * as crypto from 'node:crypto';

import type * as schemas from '@bramleyridge/schemas';

import * as batchFrame from './batch-frame.js';
import type * as fileLayer from './file-storage.js';
import type * as types from './types.js';

const GENESIS_FILE = 'identity';

/** How long to wait before asking the other voters again, in milliseconds. */
const ASK_AGAIN_MS = 200;

/** The number of this data folder, and the first voters, empty while they are not agreed. */
export interface Genesis {
  readonly voterId: string;
  readonly voters: readonly types.VoterSlot[];
  /** Who may found the log together; kept, since a host that restarts before it is founded still may. */
  readonly founders?: readonly string[];
}

/** What agreeing on the first voters needs. */
export interface GenesisOptions {
  readonly files: fileLayer.FileStorage;
  readonly identity: Genesis;
  readonly daemonId: string;
  /** Who founds the log; nobody on a host that can only join one that stands. */
  readonly founders: readonly string[];
  /** Whom to ask, as far as they are known now. */
  readonly listPeers: () => readonly string[];
  readonly fetchGenesis: FetchGenesis;
  readonly clock: schemas.Clock;
  readonly signal: AbortSignal;
}

/** What a voter tells another that has no first voters yet. */
export type FetchGenesis = (peer: string) => Promise<Genesis>;

/** Reads the identity of a data folder, or gives an empty folder a new one. */
export async function openIdentity(
  files: fileLayer.FileStorage,
  founders: readonly string[] = [],
): Promise<Genesis> {
  const bytes = await files.read(GENESIS_FILE);
  const [known] =
    bytes === undefined ? [] : batchFrame.decodeBatchFile(GENESIS_FILE, bytes).batches;
  if (known !== undefined) {
    return known as Genesis;
  }
  const fresh: Genesis = { voterId: crypto.randomUUID(), voters: [], founders };
  await files.replace(GENESIS_FILE, batchFrame.encodeBatch(fresh));
  return fresh;
}

/**
 * Agrees on the first voters. A lost disk must not come back as a blank vote: it could elect a leader
 * without entries that were promised. So a folder's number is random, the first voters are named by these
 * numbers, and they are fixed once, by the lowest-named voter, after every one of them has answered.
 * A folder that was lost and made anew has another number, finds itself not among them, and cannot vote
 * until it is added. Who is no founder only ever joins: three empty hosts that know just each other would
 * otherwise found a second log beside the first.
 */
export async function agreeGenesis(options: GenesisOptions): Promise<Genesis> {
  const {
    files,
    identity,
    daemonId,
    founders,
    listPeers,
    fetchGenesis: ask,
    clock,
    signal,
  } = options;
  if (identity.voters.length > 0) {
    return identity;
  }
  const isFirst = founders.includes(daemonId) && founders.every((peer) => daemonId <= peer);
  const partners = founders.filter((peer) => peer !== daemonId);
  for (;;) {
    const others = [...new Set([...partners, ...listPeers()])].filter((peer) => peer !== daemonId);
    const answers = await Promise.all(others.map((peer) => ask(peer).catch(() => undefined)));
    const agreed = answers.find((answer) => answer !== undefined && answer.voters.length > 0);
    const voters =
      agreed?.voters ?? (isFirst ? collect(daemonId, identity, partners, answers) : undefined);
    if (voters !== undefined) {
      const genesis: Genesis = { voterId: identity.voterId, voters };
      await files.replace(GENESIS_FILE, batchFrame.encodeBatch(genesis));
      return genesis;
    }
    await clock.sleep(ASK_AGAIN_MS, signal);
  }
}

function collect(
  daemonId: string,
  identity: Genesis,
  others: readonly string[],
  answers: readonly (Genesis | undefined)[],
): types.VoterSlot[] | undefined {
  const seats = others.map((peer, i) => ({ daemonId: peer, voterId: answers[i]?.voterId }));
  const isWhole = seats.every((seat) => seat.voterId !== undefined);
  return isWhole
    ? [{ daemonId, voterId: identity.voterId }, ...(seats as types.VoterSlot[])]
    : undefined;
}
