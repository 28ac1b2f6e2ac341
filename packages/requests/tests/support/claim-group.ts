import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

const DEADLINE_MS = 100;

interface Host {
  readonly daemonId: string;
  incarnation: number;
  seat: requests.ClaimAcceptor;
  readonly proposer: requests.ClaimProposer;
  isUp: boolean;
}

/** A claim group in one process, on virtual time, over links that lose, delay and are cut. */
export class ClaimGroup {
  public readonly clock = new schemas.VirtualClock();
  public readonly hosts = new Map<string, Host>();
  public seats: schemas.ClaimSeat[];
  public lost = 0;
  public maxDelayMs = 4;
  private readonly founders: string[];
  private readonly cuts = new Set<string>();
  private readonly rng: ReturnType<typeof xoroshiro.xoroshiro128plus>;
  private revision = 1;

  public constructor(seated: readonly string[], spares: readonly string[], seed: number) {
    this.rng = xoroshiro.xoroshiro128plus(seed);
    this.seats = seated.map((daemonId) => ({ daemonId, since: 1 }));
    this.founders = seated.map((daemonId) => `${daemonId}@1`);
    [...seated, ...spares].forEach((daemonId) => this.boot(daemonId, 1));
  }

  /** A number from 0 up to 1. */
  public random(): number {
    return (this.rng.next() >>> 0) / 2 ** 32;
  }

  /** Ends a host; what its seat remembered is gone. */
  public kill(daemonId: string): void {
    this.hosts.get(daemonId)!.isUp = false;
  }

  /** Starts a host again as a new incarnation. */
  public restart(daemonId: string): void {
    this.boot(daemonId, this.hosts.get(daemonId)!.incarnation + 1);
  }

  /** Gives a seat to another host. */
  public replace(from: string, to: string): void {
    this.revision += 1;
    this.seats = this.seats.map((seat) =>
      seat.daemonId === from ? { daemonId: to, since: this.revision } : seat,
    );
    this.hosts.forEach((host) => host.seat.configure(this.seats, this.founders));
  }

  /** Cuts both ways between two hosts. */
  public cut(a: string, b: string): void {
    this.cuts.add(`${a}>${b}`);
    this.cuts.add(`${b}>${a}`);
  }

  /** Mends every link. */
  public heal(): void {
    this.cuts.clear();
  }

  /** The proposer of a host; a process has one, so that its proposal numbers never repeat. */
  public getProposer(daemonId: string): requests.ClaimProposer {
    return this.hosts.get(daemonId)!.proposer;
  }

  private boot(daemonId: string, incarnation: number): void {
    const seat = new requests.ClaimAcceptor({
      daemonId,
      incarnation,
      clock: this.clock,
      log: new schemas.SilentLog(),
      transport: this.createTransport(daemonId),
    });
    const proposer = new requests.ClaimProposer({
      daemonId: `${daemonId}@${incarnation}`,
      transport: this.createTransport(daemonId),
      clock: this.clock,
      random: () => this.random(),
      getAcceptors: () => this.seats,
    });
    this.hosts.set(daemonId, { daemonId, incarnation, seat, proposer, isUp: true });
    seat.configure(this.seats, this.founders);
  }

  private createTransport(from: string): requests.ClaimTransport {
    return {
      claim: (to, req) =>
        this.send(from, to, (host) => host.seat.handleClaim(structuredClone(req))),
      recover: (to, req) => this.send(from, to, (host) => host.seat.handleRecover(req)),
    };
  }

  private async send<T>(from: string, to: string, handle: (host: Host) => T): Promise<T> {
    const timeout = this.clock.sleep(DEADLINE_MS).then(() => {
      throw new Error('deadline');
    });
    return Promise.race([timeout, this.deliver(from, to, handle)]);
  }

  private async deliver<T>(from: string, to: string, handle: (host: Host) => T): Promise<T> {
    const sender = this.hosts.get(from);
    await this.travel(from, to);
    const host = this.hosts.get(to);
    if (host === undefined || !host.isUp) {
      return new Promise<T>(() => {});
    }
    const answer = structuredClone(handle(host));
    await this.travel(to, from);
    // An answer to a process that has died since reaches nobody.
    return this.hosts.get(from) === sender ? answer : new Promise<T>(() => {});
  }

  private async travel(from: string, to: string): Promise<void> {
    await this.clock.sleep(this.random() * this.maxDelayMs);
    if (from !== to && (this.cuts.has(`${from}>${to}`) || this.random() < this.lost)) {
      await new Promise(() => {});
    }
  }
}
