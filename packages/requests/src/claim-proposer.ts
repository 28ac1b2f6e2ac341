import * as schemas from '@bramleyridge/schemas';

import * as types from './claim-types.js';

/** How often a claim is tried again after another proposer came in between. */
const MAX_ROUNDS = 12;

/** The longest pause between two rounds, in milliseconds. */
const PAUSE_MS = 40;

/** What a proposer needs. */
export interface ClaimProposerOptions {
  readonly daemonId: string;
  readonly transport: types.ClaimTransport;
  readonly clock: schemas.Clock;
  readonly random: () => number;
  readonly getAcceptors: () => readonly schemas.ClaimSeat[];
}

/** Answers of seats that may be counted together. */
interface Round {
  readonly accepted: types.ClaimRecord['accepted'];
  readonly highest: types.Ballot;
  readonly isAgreed: boolean;
}

/** Settles claims: the first value that a majority of seats accepts for a key stays for good. */
export class ClaimProposer {
  private counter = 0;

  public constructor(private readonly options: ClaimProposerOptions) {}

  /** The value of a key, or nothing when none has been accepted. Settles one that was half accepted. */
  public async find(key: string): Promise<types.ClaimValue | undefined> {
    return this.settle(key, undefined);
  }

  /** Claims a key; gives back whichever value holds it, ours or another's. */
  public async claim(key: string, value: types.ClaimValue): Promise<types.ClaimValue> {
    const settled = await this.settle(key, value);
    return settled ?? value;
  }

  private async settle(
    key: string,
    ours: types.ClaimValue | undefined,
  ): Promise<types.ClaimValue | undefined> {
    for (let i = 0; i < MAX_ROUNDS; i += 1) {
      this.counter += 1;
      const ballot: types.Ballot = [this.counter, this.options.daemonId];
      const promise = await this.ask({ key, ballot });
      if (promise.isAgreed) {
        const value = promise.accepted?.value ?? ours;
        if (value === undefined) {
          return undefined;
        }
        const acceptance = await this.ask({ key, ballot, value });
        if (acceptance.isAgreed) {
          return value;
        }
        this.counter = Math.max(this.counter, acceptance.highest[0]);
      }
      this.counter = Math.max(this.counter, promise.highest[0]);
      await this.options.clock.sleep(this.options.random() * PAUSE_MS * (i + 1));
    }
    throw new schemas.StepError({ id: 'claimRefused', step: 'claim' });
  }

  private async ask(req: Omit<types.ClaimReq, 'since'>): Promise<Round> {
    const { getAcceptors: getSeats, transport } = this.options;
    const seats = getSeats();
    const since = seats.map((seat) => seat.since);
    const answers: types.ClaimRes[] = [];
    const needed = Math.floor(seats.length / 2) + 1;
    if (seats.length === 0) {
      throw new schemas.StepError({ id: 'claimRefused', step: 'claim' });
    }
    let open = seats.length;
    await new Promise<void>((resolve) => {
      seats.forEach((seat) => {
        void transport
          .claim(seat.daemonId, { ...req, since })
          .then((res) => answers.push(res))
          .catch(() => {})
          .then(() => {
            open -= 1;
            if (open === 0 || countAgreed(answers) >= needed) {
              resolve();
            }
          });
      });
    });
    return this.judge(answers, needed);
  }

  private judge(answers: readonly types.ClaimRes[], needed: number): Round {
    const isAgreed = countAgreed(answers) >= needed;
    const accepted = answers
      .map((res) => res.accepted)
      .filter((item) => item !== undefined)
      .reduce<types.ClaimRecord['accepted']>(
        (best, item) =>
          best === undefined || types.isHigher(item.ballot, best.ballot) ? item : best,
        undefined,
      );
    const highest = answers.reduce<types.Ballot>(
      (best, res) => (types.isHigher(res.promised, best) ? res.promised : best),
      [0, ''],
    );
    return { accepted, highest, isAgreed };
  }
}

/**
 * How many answers agree and may be counted together. A holder that answered and then lost its memory is
 * known to the others by its successor; counted with them it would make a majority that nobody remembers.
 */
function countAgreed(answers: readonly types.ClaimRes[]): number {
  const latest = answers.reduce<types.AcceptorEpoch[]>(
    (all, res) => types.mergeEpochs(all, res.marks),
    [],
  );
  const agreed = answers.filter(
    (res) =>
      res.ok &&
      res.seat >= 0 &&
      !types.isLater(latest[res.seat] ?? [0, 0], res.marks[res.seat] ?? [0, 0]),
  );
  return new Set(agreed.map((res) => res.seat)).size;
}
