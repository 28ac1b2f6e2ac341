import * as consensus from '@bramleyridge/consensus';
import * as fc from 'fast-check';

import * as clusters from './cluster.js';
import type * as histories from './history.js';

/** The voters of a drawn schedule. */
export const VOTERS = ['v1', 'v2', 'v3', 'v4', 'v5'];
const STEP_MS = 120;

/** How many steps the voters are given to settle at the end. */
const SETTLE_STEPS = 20;

const NO_SEATS: consensus.VoterSet = { seats: [] };

/** How many disks five voters may lose at once. */
const MOST_WIPED = 2;

/** What may happen between two steps of a schedule. */
export type Fault =
  | {
      readonly kind: 'kill' | 'isolate' | 'crash-in-write' | 'wipe' | 'replace';
      readonly at: number;
    }
  | { readonly kind: 'one-way'; readonly at: number; readonly to: number }
  | { readonly kind: 'kill-leader' | 'isolate-leader' | 'heal' | 'restart' | 'none' };

/** Any fault but the loss of a disk. */
export const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('kill' as const, 'isolate' as const, 'crash-in-write' as const),
    at: fc.nat(VOTERS.length - 1),
  }),
  fc.record({
    kind: fc.constant('one-way' as const),
    at: fc.nat(VOTERS.length - 1),
    to: fc.nat(VOTERS.length - 1),
  }),
  fc.record({
    kind: fc.constantFrom(
      'kill-leader' as const,
      'isolate-leader' as const,
      'heal' as const,
      'restart' as const,
      'none' as const,
    ),
  }),
);

/** One schedule under way: its faults, what operators ask for meanwhile, and what they saw. */
export class ScheduleRun {
  public readonly history: histories.Op[] = [];
  public leaseViolations = 0;
  public wipes = 0;
  public replaced = 0;
  /** When the last fault was over and everything was up again. */
  public recoveredAt = 0;
  /** Of those that are not gone for good. */
  private readonly names = [...VOTERS];
  private readonly down = new Set<string>();
  /** Hosts that lost their disk and were not yet seen to be seated anew. */
  private readonly wiped = new Set<string>();
  private count = 0;

  public constructor(
    public readonly cluster: clusters.Cluster,
    /** How long a seat may be silent before another host takes it, in milliseconds. */
    private readonly patienceMs: number,
  ) {}

  /** Whether a command was accepted that was given after all was mended. */
  public isServing(): boolean {
    return this.history.some(
      (op) => op.kind === 'write' && op.accepted && op.from > this.recoveredAt,
    );
  }

  public inject(fault: Fault): void {
    const leader = this.cluster.findLeader()?.daemonId;
    switch (fault.kind) {
      case 'kill':
        this.kill(this.names[fault.at]);
        break;
      case 'kill-leader':
        this.kill(leader);
        break;
      case 'isolate':
        this.cluster.isolate(this.names[fault.at]!);
        break;
      case 'isolate-leader':
        if (leader !== undefined) {
          this.cluster.isolate(leader);
        }
        break;
      case 'crash-in-write':
        this.cluster.crashInWrite(this.names[fault.at]!, 1 + (fault.at % 3));
        this.down.add(this.names[fault.at]!);
        break;
      case 'one-way':
        this.cluster.cut(this.names[fault.at]!, this.names[fault.to]!);
        break;
      case 'wipe':
        this.wipe(this.names[fault.at]!);
        break;
      case 'replace':
        this.replace(fault.at);
        break;
      case 'heal':
        this.cluster.heal();
        break;
      case 'restart':
        this.restartAll();
        break;
      default:
        break;
    }
  }

  public restartAll(): void {
    this.down.forEach((id) => {
      this.cluster.kill(id);
      this.cluster.start(id);
    });
    this.down.clear();
  }

  public async step(): Promise<void> {
    this.cluster.listLeaders().forEach((leader) => {
      this.write(leader);
      void this.read(leader);
    });
    for (let i = 0; i < 6; i += 1) {
      await this.cluster.clock.advance(STEP_MS / 6);
      const leased = this.cluster.listLeaders().filter((v) => v.leadership?.isLeaseHeld() ?? false);
      this.leaseViolations += leased.length > 1 ? 1 : 0;
    }
  }

  /** Has the leader look the seats over, as a core host does; a host that lost its disk is seated anew. */
  public async repairVoterSlots(): Promise<void> {
    const leader = this.cluster.findLeader();
    const leadership = leader?.leadership;
    if (leadership === undefined || !leadership.hasCommittedInTerm()) {
      return;
    }
    const candidates = [...this.cluster.nodes.values()].flatMap(({ daemonId, voter }) =>
      voter === undefined || this.down.has(daemonId)
        ? []
        : [{ daemonId, voterId: voter.voterId, silentMs: 0 }],
    );
    // One that is cut short is planned again at the next step.
    await leadership
      .changeVoters((seats) =>
        consensus.planVoterSlots({
          slots: seats.map((seat) => ({ ...seat, silentMs: leadership.getLagMs(seat) })),
          candidates,
          slotCount: VOTERS.length,
          replaceAfterMs: this.patienceMs,
          liveMs: 1_000,
        }),
      )
      .catch(() => {});
  }

  /** Loses a disk, unless that would be one more than may be lost before the others are made good. */
  private wipe(id: string): void {
    const seated = this.cluster.findLeader()?.entries.getVoters() ?? [];
    [...this.wiped]
      .filter((other) =>
        seated.some((seat) => seat.voterId === this.cluster.nodes.get(other)?.voter?.voterId),
      )
      .forEach((other) => this.wiped.delete(other));
    if (seated.length > 0 && (this.wiped.has(id) || this.wiped.size < MOST_WIPED)) {
      this.cluster.loseDisk(id);
      this.cluster.start(id);
      this.wiped.add(id);
      this.wipes += 1;
    }
  }

  /**
   * Has a host go for good and an empty one stand in for it, unless that would be one disk more than may be lost: every
   * seat whose folder is gone counts until somebody else has it, and the change that gives it is committed. Before that
   * the former voters must agree too, and a third of five that is lost then leaves them without a majority for good, as
   * without any change.
   */
  private replace(at: number): void {
    const folders = new Set(
      this.names.map((name) => this.cluster.nodes.get(name)?.voter?.voterId).filter(Boolean),
    );
    const leader = this.cluster.findLeader();
    const { seats, former = [] } = leader?.entries.getVoterSetAt(leader.commitIndex) ?? NO_SEATS;
    const countLost = (group: readonly consensus.VoterSlot[]) =>
      group.filter((seat) => !folders.has(seat.voterId)).length;
    const lost = Math.max(countLost(seats), countLost(former));
    const isSettled = folders.size === this.names.length;
    if (seats.length === 0 || !isSettled || lost >= MOST_WIPED) {
      return;
    }
    this.cluster.kill(this.names[at]!);
    this.down.delete(this.names[at]!);
    this.replaced += 1;
    this.names[at] = `w${this.replaced}`;
    this.cluster.start(this.names[at]);
  }

  private kill(id: string | undefined): void {
    if (id !== undefined) {
      this.cluster.kill(id);
      this.down.add(id);
    }
  }

  private write(leader: consensus.Voter): void {
    this.count += 1;
    const { clock } = this.cluster;
    const id = `c${this.count}`;
    const op: histories.WriteOp = {
      kind: 'write',
      id,
      from: clock.now(),
      to: Infinity,
      accepted: false,
    };
    this.history.push(op);
    leader.leadership?.propose(id).then(
      () => {
        op.to = clock.now();
        op.accepted = true;
      },
      () => {},
    );
  }

  private async read(leader: consensus.Voter): Promise<void> {
    const from = this.cluster.clock.now();
    try {
      await leader.leadership?.barrier();
      const seen = [...this.cluster.getApplied(leader.daemonId)];
      this.history.push({ kind: 'read', from, to: this.cluster.clock.now(), seen });
    } catch {
      // It was not answered, so it says nothing.
    }
  }
}

/** What a schedule may ask for beside its faults. */
export interface SettleOptions {
  /** How long a seat may be silent before another host takes it, in milliseconds. */
  readonly replaceAfterMs?: number;
  /** How many steps the voters get at most until a command is accepted again. */
  readonly settleSteps?: number;
}

/** Plays a schedule, then mends everything and lets the voters settle. */
export async function runSchedule(
  seed: number,
  faults: readonly Fault[],
  prepare: (cluster: clusters.Cluster) => void = () => {},
  { replaceAfterMs: patienceMs = Infinity, settleSteps = SETTLE_STEPS }: SettleOptions = {},
): Promise<ScheduleRun> {
  const cluster = new clusters.Cluster(VOTERS, seed);
  prepare(cluster);
  await cluster.startAll();
  cluster.faults.lossRate = 0.02;
  cluster.faults.duplicateRate = 0.05;
  cluster.faults.maxDelayMs = 40;
  const run = new ScheduleRun(cluster, patienceMs);
  for (const fault of faults) {
    run.inject(fault);
    void run.repairVoterSlots();
    await run.step();
  }
  cluster.heal();
  run.restartAll();
  run.recoveredAt = cluster.clock.now();
  for (let i = 0; i < SETTLE_STEPS || (i < settleSteps && !run.isServing()); i += 1) {
    void run.repairVoterSlots();
    await run.step();
  }
  return run;
}
