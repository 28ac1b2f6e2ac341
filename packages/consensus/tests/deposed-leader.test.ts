import * as consensus from '@bramleyridge/consensus';
import * as tap from 'tap';

import * as followers from './support/follower.js';
import * as heldDisks from './support/held-disk.js';

/** Number of turns of the microtask queue within which a membership change goes on after an answer. */
const MOST_TURNS = 60;

/** A leader whose requests to its peers are answered when `answer` is called. */
async function startLeader() {
  const slots = new Map(followers.VOTERS.map((slot) => [slot.daemonId, slot.voterId]));
  let waiting: (() => void)[] = [];
  const transport: Partial<consensus.Transport> = {
    vote: async (peer, { pre, term }) =>
      Promise.resolve({ term: pre ? term - 1 : term, granted: true, voterId: slots.get(peer)! }),
    append: async (peer, { entries, prevIndex, term }) => {
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
      const match = prevIndex + entries.length;
      return { term, ok: true, match, hint: match, voterId: slots.get(peer)! };
    },
  };
  const follower = await followers.startFollower({ transport });
  const { clock, voter } = follower;
  const stopping = new AbortController();
  void consensus.runElections(voter, stopping.signal);
  while (!voter.isLeader()) {
    await clock.advance(10);
  }
  const answer = () => {
    const resolves = waiting;
    waiting = [];
    resolves.forEach((resolve) => resolve());
  };
  const stop = () => {
    stopping.abort();
    voter.stop();
  };
  return { ...follower, leadership: voter.leadership!, answer, stop };
}

/** Deposes a leader that changes the voter set, some turns after the answers that the change has waited for. */
async function deposeDuringChange(answers: number, turns: number) {
  const { answer, clock, leadership, stop, voter } = await startLeader();
  const change = leadership.changeVoters((slots) => slots.slice(0, 2));
  const outcome = change.then(
    () => 'changed',
    () => 'rejected',
  );
  for (let i = 1; i < answers; i += 1) {
    answer();
    await heldDisks.settle();
  }
  answer();
  for (let i = 0; i < turns; i += 1) {
    await Promise.resolve();
  }
  const { lastIndex: index, lastTerm: term } = voter.entries;
  const noop: consensus.Entry = { index: index + 1, term: term + 1, kind: 'noop', data: null };
  const append = followers.createAppend(term + 1, { index, term }, [noop], index + 1);
  const { ok } = await voter.handleAppend(append);
  await clock.advance(followers.ELECTION_MS);
  await outcome;
  stop();
  const { lastIndex, lastTerm } = voter.entries;
  return { ok, added: lastIndex - index, isLastOfNext: lastTerm === term + 1 };
}

void tap.default.test('a leader that is deposed while it changes the voter set', async (t) => {
  // Guards against an entry of the earlier term behind those of the next leader: it hides from votes what this voter has
  // acknowledged, and brings a voter set into force here that nobody else has.
  const found = new Set<string>();
  for (const answers of [1, 2, 3, 4]) {
    for (let turns = 0; turns <= MOST_TURNS; turns += 1) {
      const { added, isLastOfNext, ok } = await deposeDuringChange(answers, turns);
      if (!ok || added !== 1 || !isLastOfNext) {
        found.add(`${turns} turns after answer ${answers}: ${added} entries added`);
      }
    }
  }
  t.same([...found], []);
});
