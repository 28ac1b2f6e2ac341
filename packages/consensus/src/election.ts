import type * as types from './types.js';
import type * as voters from './voter.js';

/** One task for the life of a voter: waits for the leader to fall silent, then stands for election. */
export async function runElections(voter: voters.Voter, signal: AbortSignal): Promise<void> {
  const { clock, random, timings } = voter.options;
  while (!voter.stopped && !signal.aborted) {
    // Random timeouts keep two voters from standing against each other again and again.
    const timeoutMs = voter.getSilenceMs() * (1 + random());
    const silentMs = clock.now() - voter.heardAt;
    if (voter.isLeader() || !voter.isSeated() || silentMs < timeoutMs) {
      const restMs = voter.isLeader() ? timings.electionMs : timeoutMs - silentMs;
      await clock.sleep(Math.max(restMs, timings.electionMs / 10), signal).catch(() => {});
      continue;
    }
    await stand(voter);
    // After a lost election the others get their turn first.
    const pauseMs = timings.electionMs * (0.1 + random() / 2);
    await clock.sleep(pauseMs, signal).catch(() => {});
  }
}

async function stand(voter: voters.Voter): Promise<void> {
  const term = voter.term + 1;
  // Without asking first, a voter behind a one-way partition would raise the term for ever
  // and unseat a leader that the majority hears.
  if (!(await collectVotes(voter, term, true)) || voter.term + 1 !== term || voter.stopped) {
    return;
  }
  await voter.adoptTerm(term, voter.voterId);
  const isElected = await collectVotes(voter, term, false);
  if (isElected && voter.term === term && !voter.stopped) {
    voter.lead();
  }
}

/** Asks every other voter at once; resolves as soon as a majority is for it or it can't be any more. */
function collectVotes(voter: voters.Voter, term: number, pre: boolean): Promise<boolean> {
  const seats = voter.entries.getVoters();
  const needed = Math.floor(seats.length / 2) + 1;
  const req: types.VoteReq = {
    pre,
    term,
    candidate: { daemonId: voter.daemonId, voterId: voter.voterId },
    lastIndex: voter.entries.lastIndex,
    lastTerm: voter.entries.lastTerm,
  };
  return new Promise((resolve) => {
    let granted = 1;
    let open = seats.length - 1;
    const close = () => {
      if (granted >= needed) {
        resolve(true);
      } else if (granted + open < needed) {
        resolve(false);
      }
    };
    close();
    seats
      .filter((seat) => seat.voterId !== voter.voterId)
      .forEach((seat) => {
        void askVote(voter, seat, req).then((isGranted) => {
          open -= 1;
          granted += isGranted ? 1 : 0;
          close();
        });
      });
  });
}

async function askVote(
  voter: voters.Voter,
  seat: types.VoterSeat,
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
