import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

import type * as fileStorage from './file-storage.js';
import * as geneses from './genesis.js';
import * as types from './types.js';

/** Number of a proposal for the initial voters; the proposer is a random id, of which no other proposal makes use. */
export const foundingBallot = z.object({ round: z.int().min(1), proposer: z.string() });

/** Number of a proposal for the initial voters. */
export type FoundingBallot = z.infer<typeof foundingBallot>;

/** Voters that were accepted, and by which proposal. */
export const acceptedFounding = z.object({
  ballot: foundingBallot,
  voters: z.array(types.voterSlot),
});

/** Voters that were accepted, and by which proposal. */
export type AcceptedFounding = z.infer<typeof acceptedFounding>;

/** Asks a founder for its promise, or with `voters` to accept these. */
export const foundingReq = z.object({
  ballot: foundingBallot,
  voters: z.array(types.voterSlot).optional(),
});

/** Asks a founder for its promise, or with `voters` to accept these. */
export type FoundingReq = z.infer<typeof foundingReq>;

/** The answer of a founder; `agreed` is empty until it knows the initial voters. */
export const foundingRes = z.object({
  ok: z.boolean(),
  promised: foundingBallot.optional(),
  accepted: acceptedFounding.optional(),
  agreed: z.array(types.voterSlot),
});

/** The answer of a founder. */
export type FoundingRes = z.infer<typeof foundingRes>;

/** Sends a request to another founder. */
export type SendFounding = (peer: string, req: FoundingReq) => Promise<FoundingRes>;

/**
 * One founder's part in the agreement on the initial voters, by single-decree Paxos. What it answers is on its disk. A
 * host whose disk was lost is no founder any more and promises nothing.
 */
export class Founding {
  private identity: geneses.Genesis;
  /** Highest round that this founder has seen. */
  private round = 0;
  private writing: Promise<void> = Promise.resolve();
  private isClosed = false;

  public constructor(
    private readonly files: fileStorage.FileStorage,
    identity: geneses.Genesis,
  ) {
    this.identity = identity;
  }

  /** Returns the identity as far as it is agreed. */
  public get(): geneses.Genesis {
    return this.identity;
  }

  /** Answers a proposer; rejects if the answer can't be stored, or if this host is no founder. */
  public async handle(req: FoundingReq): Promise<FoundingRes> {
    const res = this.decide(req);
    if (res.ok) {
      await this.store();
    }
    return res;
  }

  /** Answers nothing more, and waits until what was answered is stored. */
  public async close(): Promise<void> {
    this.isClosed = true;
    await this.writing.catch(() => {});
  }

  /** Stores the voters that are agreed. */
  public async agree(voters: readonly types.VoterSlot[]): Promise<geneses.Genesis> {
    this.identity = { voterId: this.identity.voterId, voters };
    await this.store();
    return this.identity;
  }

  /**
   * Proposes voters to all founders; returns those that are agreed, which may be others, or `undefined` if no majority
   * of the founders has accepted.
   */
  public async propose(
    voters: readonly types.VoterSlot[],
    proposer: string,
    ask: (req: FoundingReq) => Promise<readonly (FoundingRes | undefined)[]>,
  ): Promise<readonly types.VoterSlot[] | undefined> {
    const ballot = { round: this.getNextRound(), proposer };
    const promises = await ask({ ballot });
    this.noteRounds(promises);
    const known = findAgreed(promises);
    if (known !== undefined || !isMajority(promises)) {
      return known;
    }
    const chosen = findAccepted(promises) ?? voters;
    const answers = await ask({ ballot, voters: [...chosen] });
    this.noteRounds(answers);
    return findAgreed(answers) ?? (isMajority(answers) ? chosen : undefined);
  }

  private decide({ ballot, voters }: FoundingReq): FoundingRes {
    const { accepted, founders = [], promised, voters: agreed } = this.identity;
    if (agreed.length > 0) {
      return { ok: false, agreed: [...agreed] };
    }
    if (founders.length === 0 || this.isClosed) {
      throw new schemas.StepError({ id: 'notLeader', step: 'found-log' });
    }
    const order = promised === undefined ? 1 : compare(ballot, promised);
    const ok = voters === undefined ? order > 0 : order >= 0;
    if (ok) {
      this.identity = {
        ...this.identity,
        promised: ballot,
        ...(voters === undefined ? {} : { accepted: { ballot, voters } }),
      };
    }
    return { ok, promised: ok ? ballot : promised, accepted, agreed: [] };
  }

  private getNextRound(): number {
    this.round = Math.max(this.round, this.identity.promised?.round ?? 0) + 1;
    return this.round;
  }

  private noteRounds(answers: readonly (FoundingRes | undefined)[]): void {
    const rounds = answers.map((answer) => answer?.promised?.round ?? 0);
    this.round = Math.max(this.round, ...rounds);
  }

  /** Stores the newest state, one write after the other. */
  private store(): Promise<void> {
    const writing = this.writing
      .catch(() => {})
      .then(() => geneses.storeIdentity(this.files, this.identity));
    this.writing = writing;
    return writing;
  }
}

function isMajority(answers: readonly (FoundingRes | undefined)[]): boolean {
  return answers.filter((answer) => answer?.ok === true).length > answers.length / 2;
}

function findAgreed(
  answers: readonly (FoundingRes | undefined)[],
): readonly types.VoterSlot[] | undefined {
  return answers.find((answer) => (answer?.agreed.length ?? 0) > 0)?.agreed;
}

/** Returns the voters that were accepted with the highest ballot. */
function findAccepted(
  answers: readonly (FoundingRes | undefined)[],
): readonly types.VoterSlot[] | undefined {
  return answers
    .flatMap((answer) => (answer?.ok === true ? (answer.accepted ?? []) : []))
    .sort((a, b) => compare(b.ballot, a.ballot))[0]?.voters;
}

function compare(a: FoundingBallot, b: FoundingBallot): number {
  if (a.round !== b.round) {
    return a.round - b.round;
  }
  return Number(a.proposer > b.proposer) - Number(a.proposer < b.proposer);
}
