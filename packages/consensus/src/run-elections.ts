import type * as types from './types.js';
import type * as voters from './voter.js';

/** How often a voter says that no majority of the seats answers, in milliseconds; once at each try would fill the log. */
const NO_MAJORITY_LOG_MS = 5_000;

/** What became of asking for votes. */
interface Poll {
  readonly isWon: boolean;
  /** Who had given a vote when it was decided, by the number of the folder, this voter included. */
  readonly granted: ReadonlySet<string>;
}

/** One task for the life of a voter: waits for the leader to fall silent, then stands for election. */
export async function runElections(voter: voters.Voter, signal: AbortSignal): Promise<void> {
  const { clock, random, timings } = voter.options;
  let toldAt = -Infinity;
  while (!voter.stopped && !signal.aborted) {
    // Random timeouts keep two voters from standing against each other again and again.
    const timeoutMs = voter.getLeaderTimeoutMs() * (1 + random());
    const silentMs = clock.now() - voter.lastLeaderContactAt;
    if (voter.isLeader() || !voter.hasSlot() || silentMs < timeoutMs) {
      const restMs = voter.isLeader() ? timings.electionMs : timeoutMs - silentMs;
      await clock.sleep(Math.max(restMs, timings.electionMs / 10), signal).catch(() => {});
      continue;
    }
    const poll = await stand(voter);
    if (!poll.isWon && clock.now() - toldAt > NO_MAJORITY_LOG_MS) {
      toldAt = clock.now();
      noteNoMajority(voter, poll);
    }
    // After a lost election the others get their turn first.
    const pauseMs = timings.electionMs * (0.1 + random() / 2);
    await clock.sleep(pauseMs, signal).catch(() => {});
  }
}

/** A log without a majority stays so until somebody acts; no other line would say it. */
function noteNoMajority(voter: voters.Voter, { granted }: Poll): void {
  const seats = voter.entries.getVoters();
  const { term } = voter;
  voter.options.log.warn({
    event: 'no-majority',
    term,
    seats: seats.map((seat) => seat.daemonId),
    granted: seats.filter((seat) => granted.has(seat.voterId)).map((seat) => seat.daemonId),
  });
}

async function stand(voter: voters.Voter): Promise<Poll> {
  const term = voter.term + 1;
  // Without asking first, a voter behind a one-way partition would raise the term for ever
  // and unseat a leader that the majority hears.
  const foreseen = await collectVotes(voter, term, true);
  if (!foreseen.isWon || voter.term + 1 !== term || voter.stopped) {
    return foreseen;
  }
  await voter.adoptTerm(term, voter.voterId);
  const poll = await collectVotes(voter, term, false);
  if (poll.isWon && voter.term === term && !voter.stopped) {
    voter.becomeLeader();
  }
  return poll;
}

/** Asks every other voter at once; resolves as soon as a majority is for it or it can't be any more. */
function collectVotes(voter: voters.Voter, term: number, pre: boolean): Promise<Poll> {
  const quorum = voter.entries.getQuorum();
  const req: types.VoteReq = {
    pre,
    term,
    candidate: { daemonId: voter.daemonId, voterId: voter.voterId },
    lastIndex: voter.entries.lastIndex,
    lastTerm: voter.entries.lastTerm,
  };
  return new Promise((resolve) => {
    const granted = new Set([voter.voterId]);
    const refused = new Set<string>();
    const close = () => {
      const isWon = quorum.isReached((seat) => granted.has(seat.voterId));
      if (isWon || !quorum.isReached((seat) => !refused.has(seat.voterId))) {
        resolve({ isWon, granted });
      }
    };
    close();
    quorum
      .listVoters()
      .filter((seat) => seat.voterId !== voter.voterId)
      .forEach((seat) => {
        void askVote(voter, seat, req).then((isGranted) => {
          (isGranted ? granted : refused).add(seat.voterId);
          close();
        });
      });
  });
}

async function askVote(
  voter: voters.Voter,
  seat: types.VoterSlot,
  req: types.VoteReq,
): Promise<boolean> {
  try {
    const res = await voter.options.transport.vote(seat.daemonId, req);
    if (res.term > voter.term) {
      await voter.adoptTerm(res.term, null);
    }
    // The answer counts for the folder that holds the seat, not for whoever now has its address.
    return res.granted && res.voterId === seat.voterId;
  } catch {
    return false;
  }
}
