import type * as types from './types.js';
import type * as voters from './voter.js';

/**
 * Minimum time between two `no-majority` log lines, in milliseconds; one line for each failed election would flood the
 * log.
 */
const NO_MAJORITY_LOG_INTERVAL_MS = 5_000;

/** The result of a vote request to all voters. */
interface VoteTally {
  readonly hasMajority: boolean;
  /** Voter ids that had granted their vote when the result was decided, including this voter's own. */
  readonly granted: ReadonlySet<string>;
}

/**
 * Runs until the voter stops: waits for the leader to time out, then starts an election. After an unexpected error the
 * voter stops, since one that stands for no election must not go on to vote and acknowledge; the error is thrown.
 */
export async function runElections(voter: voters.Voter, signal: AbortSignal): Promise<void> {
  try {
    await runUntilStopped(voter, signal);
  } catch (err) {
    voter.fail('elect', err);
    throw err;
  }
}

async function runUntilStopped(voter: voters.Voter, signal: AbortSignal): Promise<void> {
  const { clock, random, timings } = voter.options;
  let lastLoggedAt = -Infinity;
  while (!voter.stopped && !signal.aborted) {
    // Randomized timeouts prevent repeated split votes.
    const timeoutMs = voter.getLeaderTimeoutMs() * (1 + random());
    const sinceContactMs = clock.now() - voter.lastLeaderContactAt;
    if (voter.isLeader() || !voter.hasSlot() || sinceContactMs < timeoutMs) {
      const waitMs = voter.isLeader() ? timings.electionMs : timeoutMs - sinceContactMs;
      await clock.sleep(Math.max(waitMs, timings.electionMs / 10), signal).catch(() => {});
      continue;
    }
    const tally = await runElection(voter);
    if (!tally.hasMajority && clock.now() - lastLoggedAt > NO_MAJORITY_LOG_INTERVAL_MS) {
      lastLoggedAt = clock.now();
      logNoMajority(voter, tally);
    }
    // Back off so that another voter can start the next election first.
    const backoffMs = timings.electionMs * (0.1 + random() / 2);
    await clock.sleep(backoffMs, signal).catch(() => {});
  }
}

/** Logs a failed election. A lost majority may last until an operator acts, and no other log line reports it. */
function logNoMajority(voter: voters.Voter, { granted }: VoteTally): void {
  const slots = voter.entries.getVoters();
  const { term } = voter;
  voter.options.log.warn({
    event: 'no-majority',
    term,
    seats: slots.map((slot) => slot.daemonId),
    granted: slots.filter((slot) => granted.has(slot.voterId)).map((slot) => slot.daemonId),
  });
}

async function runElection(voter: voters.Voter): Promise<VoteTally> {
  const { lastLeaderContactAt } = voter;
  const term = voter.term + 1;
  // Without a pre-vote, a voter behind a one-way partition would keep raising the term
  // and depose a leader that still reaches the majority.
  const preVote = await collectVotes(voter, term, true);
  if (!preVote.hasMajority || voter.term + 1 !== term || voter.stopped) {
    return preVote;
  }
  // A voter that acknowledged a heartbeat while it waited for pre-votes has extended the leader's lease. Its vote for
  // itself could make it a second leader within that lease.
  if (voter.lastLeaderContactAt !== lastLeaderContactAt) {
    return preVote;
  }
  await voter.adoptTerm(term, voter.voterId);
  const tally = await collectVotes(voter, term, false);
  if (tally.hasMajority && voter.term === term && !voter.stopped) {
    voter.becomeLeader();
  }
  return tally;
}

/** Requests a vote from all other voters in parallel; resolves once a majority is reached or out of reach. */
function collectVotes(voter: voters.Voter, term: number, pre: boolean): Promise<VoteTally> {
  const quorum = voter.entries.getQuorum();
  const req: types.VoteReq = {
    pre,
    term,
    candidate: { daemonId: voter.daemonId, voterId: voter.voterId },
    lastIndex: voter.entries.lastIndex,
    lastTerm: voter.entries.lastTerm,
  };
  return new Promise((resolve, reject) => {
    const granted = new Set([voter.voterId]);
    const refused = new Set<string>();
    const settle = () => {
      const hasMajority = quorum.isReached((slot) => granted.has(slot.voterId));
      if (hasMajority || !quorum.isReached((slot) => !refused.has(slot.voterId))) {
        resolve({ hasMajority, granted });
      }
    };
    settle();
    quorum
      .listVoters()
      .filter((slot) => slot.voterId !== voter.voterId)
      .forEach((slot) => {
        const record = (isGranted: boolean) => {
          (isGranted ? granted : refused).add(slot.voterId);
          settle();
        };
        requestVote(voter, slot, req).then(record).catch(reject);
      });
  });
}

async function requestVote(
  voter: voters.Voter,
  slot: types.VoterSlot,
  req: types.VoteReq,
): Promise<boolean> {
  try {
    const res = await voter.options.transport.vote(slot.daemonId, req);
    if (res.term > voter.term) {
      await voter.adoptTerm(res.term, null);
    }
    // The response counts only if it comes from the data directory that holds the slot. A host that lost its disk
    // answers at the same address with a different id.
    return res.granted && res.voterId === slot.voterId;
  } catch {
    return false;
  }
}
