import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

const DEADLINE_MS = 100;

interface Host {
  readonly daemonId: string;
  incarnation: number;
  acceptor: requests.ClaimAcceptor;
  readonly proposer: requests.ClaimProposer;
  isUp: boolean;
}

/** A claim group in one process, on virtual time, over links with message loss, delays and partitions. */
export class ClaimGroup {
  public readonly clock = new schemas.VirtualClock();
  public readonly hosts = new Map<string, Host>();
  public slots: schemas.ClaimAcceptorSlot[];
  public lossRate = 0;
  public maxDelayMs = 4;
  private readonly founders: string[];
  private readonly blockedLinks = new Set<string>();
  private readonly rng: ReturnType<typeof xoroshiro.xoroshiro128plus>;
  private revision = 1;

  public constructor(slotHolders: readonly string[], spares: readonly string[], seed: number) {
    this.rng = xoroshiro.xoroshiro128plus(seed);
    this.slots = slotHolders.map((daemonId) => ({ daemonId, since: 1 }));
    this.founders = slotHolders.map((daemonId) => `${daemonId}@1`);
    [...slotHolders, ...spares].forEach((daemonId) => this.start(daemonId, 1));
  }

  /** Returns a random number in [0, 1). */
  public random(): number {
    return (this.rng.next() >>> 0) / 2 ** 32;
  }

  /** Stops a host; the state of its acceptor is lost. */
  public kill(daemonId: string): void {
    this.hosts.get(daemonId)!.isUp = false;
  }

  /** Restarts a host as a new incarnation. */
  public restart(daemonId: string): void {
    this.start(daemonId, this.hosts.get(daemonId)!.incarnation + 1);
  }

  /** Reassigns a slot to another host. */
  public replace(from: string, to: string): void {
    this.revision += 1;
    this.slots = this.slots.map((slot) =>
      slot.daemonId === from ? { daemonId: to, since: this.revision } : slot,
    );
    this.hosts.forEach((host) => host.acceptor.configure(this.slots, this.founders));
  }

  /** Blocks messages between two hosts in both directions. */
  public cut(a: string, b: string): void {
    this.blockedLinks.add(`${a}>${b}`);
    this.blockedLinks.add(`${b}>${a}`);
  }

  /** Unblocks all links. */
  public heal(): void {
    this.blockedLinks.clear();
  }

  /** Returns the proposer of a host; a process has only one, so that its ballot numbers never repeat. */
  public getProposer(daemonId: string): requests.ClaimProposer {
    return this.hosts.get(daemonId)!.proposer;
  }

  private start(daemonId: string, incarnation: number): void {
    const acceptor = new requests.ClaimAcceptor({
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
      getAcceptors: () => this.slots,
    });
    this.hosts.set(daemonId, { daemonId, incarnation, acceptor, proposer, isUp: true });
    acceptor.configure(this.slots, this.founders);
  }

  private createTransport(from: string): requests.ClaimTransport {
    return {
      claim: (to, req) =>
        this.send(from, to, (host) => host.acceptor.handleClaim(structuredClone(req))),
      recover: (to, req) => this.send(from, to, (host) => host.acceptor.handleRecover(req)),
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
    await this.transmit(from, to);
    const host = this.hosts.get(to);
    if (host === undefined || !host.isUp) {
      return new Promise<T>(() => {});
    }
    const response = structuredClone(handle(host));
    await this.transmit(to, from);
    // A response to a process that was restarted in the meantime is dropped.
    return this.hosts.get(from) === sender ? response : new Promise<T>(() => {});
  }

  private async transmit(from: string, to: string): Promise<void> {
    await this.clock.sleep(this.random() * this.maxDelayMs);
    if (from !== to && (this.blockedLinks.has(`${from}>${to}`) || this.random() < this.lossRate)) {
      await new Promise(() => {});
    }
  }
}
