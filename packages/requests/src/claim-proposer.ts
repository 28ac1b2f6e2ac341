import * as schemas from '@bramleyridge/schemas';

import * as types from './claim-types.js';

/** Maximum number of rounds per claim; a claim that other proposers preempt in all of them is refused. */
const MAX_ROUNDS = 12;

/**
 * The upper bound of the random pause after the first round, in milliseconds. It grows linearly with the rounds, so
 * that competing proposers stop preempting each other.
 */
const BACKOFF_MS = 40;

/** The dependencies of a proposer. */
export interface ClaimProposerOptions {
  readonly daemonId: string;
  readonly transport: types.ClaimTransport;
  readonly clock: schemas.Clock;
  readonly random: () => number;
  readonly getAcceptors: () => readonly schemas.ClaimAcceptorSlot[];
}

/** The combined responses of the acceptors in one phase. */
interface PhaseResult {
  readonly accepted: types.ClaimRecord['accepted'];
  readonly highest: types.Ballot;
  readonly hasMajority: boolean;
}

/**
 * Runs the Paxos-like claim protocol as a proposer. The first value that a majority of acceptors accepts for a key is
 * final until the claim expires.
 */
export class ClaimProposer {
  private counter = 0;

  public constructor(private readonly options: ClaimProposerOptions) {}

  /**
   * Returns the value of a key, or `undefined` when none was accepted. Completes one that only a minority accepted.
   */
  public async find(key: string): Promise<types.ClaimValue | undefined> {
    return this.choose(key, undefined);
  }

  /** Claims a key and returns the chosen value, which may be that of another proposer. */
  public async claim(key: string, value: types.ClaimValue): Promise<types.ClaimValue> {
    const chosen = await this.choose(key, value);
    return chosen ?? value;
  }

  private async choose(
    key: string,
    proposed: types.ClaimValue | undefined,
  ): Promise<types.ClaimValue | undefined> {
    for (let i = 0; i < MAX_ROUNDS; i += 1) {
      const ballot = this.createBallot();
      const promise = await this.sendToAcceptors({ key, ballot });
      if (promise.hasMajority) {
        const value = promise.accepted?.value ?? proposed;
        if (value === undefined) {
          return undefined;
        }
        const acceptance = await this.sendToAcceptors({ key, ballot, value });
        if (acceptance.hasMajority) {
          return value;
        }
        this.raiseCounter(acceptance.highest);
      }
      this.raiseCounter(promise.highest);
      await this.options.clock.sleep(this.options.random() * BACKOFF_MS * (i + 1));
    }
    throw new schemas.StepError({ id: 'claimRefused', step: 'claim' });
  }

  private createBallot(): types.Ballot {
    this.counter += 1;
    return [this.counter, this.options.daemonId];
  }

  private raiseCounter([highest]: types.Ballot): void {
    this.counter = Math.max(this.counter, highest);
  }

  private async sendToAcceptors(req: Omit<types.ClaimReq, 'since'>): Promise<PhaseResult> {
    const { getAcceptors, transport } = this.options;
    const acceptors = getAcceptors();
    const since = acceptors.map((acceptor) => acceptor.since);
    const responses: types.ClaimRes[] = [];
    const needed = Math.floor(acceptors.length / 2) + 1;
    if (acceptors.length === 0) {
      throw new schemas.StepError({ id: 'claimRefused', step: 'claim' });
    }
    let pending = acceptors.length;
    await new Promise<void>((resolve, reject) => {
      acceptors.forEach((acceptor) => {
        transport
          .claim(acceptor.daemonId, { ...req, since })
          .then((res) => responses.push(res))
          .catch(() => {})
          .then(() => {
            pending -= 1;
            if (pending === 0 || countAgreed(responses) >= needed) {
              resolve();
            }
          })
          .catch(reject);
      });
    });
    return this.combine(responses, needed);
  }

  private combine(responses: readonly types.ClaimRes[], needed: number): PhaseResult {
    const hasMajority = countAgreed(responses) >= needed;
    const accepted = responses
      .map((res) => res.accepted)
      .filter((item) => item !== undefined)
      .reduce<types.ClaimRecord['accepted']>(
        (best, item) =>
          best === undefined || types.isHigher(item.ballot, best.ballot) ? item : best,
        undefined,
      );
    const highest = responses.reduce<types.Ballot>(
      (best, res) => (types.isHigher(res.promised, best) ? res.promised : best),
      [0, ''],
    );
    return { accepted, highest, hasMajority };
  }
}

/**
 * Counts the slots that agreed. A response from an epoch that another response shows to be superseded is not counted:
 * its acceptor has lost its state since, so a majority with it could be one that no acceptor has a record of.
 */
function countAgreed(responses: readonly types.ClaimRes[]): number {
  const latest = responses.reduce<types.AcceptorEpoch[]>(
    (all, res) => types.mergeEpochs(all, res.marks),
    [],
  );
  const agreed = responses.filter(
    (res) =>
      res.ok &&
      res.seat >= 0 &&
      !types.isLater(latest[res.seat] ?? [0, 0], res.marks[res.seat] ?? [0, 0]),
  );
  return new Set(agreed.map((res) => res.seat)).size;
}
