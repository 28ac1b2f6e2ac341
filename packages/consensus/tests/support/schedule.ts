import * as consensus from '@bramleyridge/consensus';
import * as fc from 'fast-check';

import * as clusters from './cluster.js';
import type * as histories from './history.js';

/** The initial voters of a generated schedule. */
export const VOTERS = ['v1', 'v2', 'v3', 'v4', 'v5'];
/** Duration of one step of a schedule, in milliseconds. */
const STEP_MS = 120;

/** Minimum number of steps at the end for the voters to recover. */
const SETTLE_STEPS = 20;

/** Time within which voters with sound disks have all entries, in milliseconds. */
const CATCH_UP_MS = 3_000;

const SOUND_DISK = { delayMs: 0, heldUntil: 0, isFull: false };

const EMPTY_VOTER_SET: consensus.VoterSet = { seats: [] };

/** Number of disks that five voters may lose at once. */
const MAX_LOST_DISKS = 2;

/** A fault that is injected between two steps of a schedule. */
export type Fault =
  | {
      readonly kind: 'kill' | 'isolate' | 'crash-in-write' | 'wipe' | 'replace';
      readonly at: number;
    }
  | { readonly kind: 'one-way'; readonly at: number; readonly to: number }
  | { readonly kind: 'hold-disk'; readonly at: number; readonly steps: number }
  | { readonly kind: 'slow-disk' | 'full-disk' | 'sound-disk'; readonly at: number }
  | { readonly kind: 'kill-leader' | 'isolate-leader' | 'heal' | 'restart' | 'none' };

/** Any fault except the loss of a disk. */
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

/** A fault of a disk, or its end. */
export const diskFaultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant('hold-disk' as const),
    at: fc.nat(VOTERS.length - 1),
    steps: fc.integer({ min: 1, max: 20 }),
  }),
  fc.record({
    kind: fc.constantFrom('slow-disk' as const, 'full-disk' as const, 'sound-disk' as const),
    at: fc.nat(VOTERS.length - 1),
  }),
);

/** Time that each write to a slow disk takes, in milliseconds. */
const SLOW_DISK_MS = 40;

/** One run of a schedule: injects its faults and records the operations that operators perform meanwhile. */
export class ScheduleRun {
  public readonly history: histories.Op[] = [];
  public leaseViolations = 0;
  public wipes = 0;
  public replaced = 0;
  /** When all faults were repaired and all hosts restarted. */
  public recoveredAt = 0;
  /** The hosts that are not permanently lost. */
  private readonly names = [...VOTERS];
  private readonly down = new Set<string>();
  /** Hosts that lost their disk and have not been seen with a voter slot since. */
  private readonly wiped = new Set<string>();
  private count = 0;

  public constructor(
    public readonly cluster: clusters.Cluster,
    /** How long a voter may lag before another host gets its slot, in milliseconds. */
    private readonly replaceAfterMs: number,
    /** Number of commands that are proposed in each step. */
    private readonly writesPerStep = 1,
  ) {}

  /** Whether a command was accepted that was proposed after all faults were repaired. */
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
        this.cluster.block(this.names[fault.at]!, this.names[fault.to]!);
        break;
      case 'hold-disk':
        this.cluster.changeDisk(this.names[fault.at]!, {
          heldUntil: this.cluster.clock.now() + fault.steps * STEP_MS,
        });
        break;
      case 'slow-disk':
        this.cluster.changeDisk(this.names[fault.at]!, { delayMs: SLOW_DISK_MS });
        break;
      case 'full-disk':
        this.cluster.changeDisk(this.names[fault.at]!, { isFull: true });
        break;
      case 'sound-disk':
        this.cluster.changeDisk(this.names[fault.at]!, SOUND_DISK);
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

  /** Makes all disks sound. */
  public repairDisks(): void {
    this.names.forEach((name) => this.cluster.changeDisk(name, SOUND_DISK));
  }

  /** The voters that have not applied what the leader has, after a time in which nothing is proposed. */
  public async findBehind(): Promise<string[]> {
    const leader = this.cluster.findLeader();
    const applied = this.cluster.getApplied(leader?.daemonId ?? '').length;
    await this.cluster.clock.advance(CATCH_UP_MS);
    const slots = leader?.entries.getVoters() ?? [];
    return slots
      .map(({ daemonId }) => daemonId)
      .filter((name) => this.cluster.getApplied(name).length < applied);
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
      for (let i = 0; i < this.writesPerStep; i += 1) {
        this.write(leader);
      }
      void this.read(leader);
    });
    for (let i = 0; i < 6; i += 1) {
      await this.cluster.clock.advance(STEP_MS / 6);
      const leased = this.cluster.listLeaders().filter((v) => v.leadership?.isLeaseHeld() ?? false);
      this.leaseViolations += leased.length > 1 ? 1 : 0;
    }
  }

  /** Makes the leader plan the voter slots, as a core host does; a host that lost its disk gets a slot again. */
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
    // An interrupted change is planned again at the next step.
    await leadership
      .changeVoters((seats) =>
        consensus.planVoterSlots({
          slots: seats.map((slot) => ({ ...slot, silentMs: leadership.getLagMs(slot) })),
          candidates,
          slotCount: VOTERS.length,
          replaceAfterMs: this.replaceAfterMs,
          liveMs: 1_000,
        }),
      )
      .catch(() => {});
  }

  /** Erases a disk, unless too many hosts with an erased disk are still without a voter slot. */
  private wipe(id: string): void {
    const voters = this.cluster.findLeader()?.entries.getVoters() ?? [];
    [...this.wiped]
      .filter((other) =>
        voters.some((slot) => slot.voterId === this.cluster.nodes.get(other)?.voter?.voterId),
      )
      .forEach((other) => this.wiped.delete(other));
    if (voters.length > 0 && (this.wiped.has(id) || this.wiped.size < MAX_LOST_DISKS)) {
      this.cluster.loseDisk(id);
      this.cluster.start(id);
      this.wiped.add(id);
      this.wipes += 1;
    }
  }

  /**
   * Replaces a host permanently by an empty one, unless more disks would be lost than five voters tolerate. A slot
   * whose data directory is lost counts until the change that reassigns it is committed. Until then the former voters
   * must agree too, and the loss of a third host would leave the five without a majority permanently, as without a
   * change.
   */
  private replace(at: number): void {
    const directories = new Set(
      this.names.map((name) => this.cluster.nodes.get(name)?.voter?.voterId).filter(Boolean),
    );
    const leader = this.cluster.findLeader();
    const { seats, former = [] } =
      leader?.entries.getVoterSetAt(leader.commitIndex) ?? EMPTY_VOTER_SET;
    const countLost = (group: readonly consensus.VoterSlot[]) =>
      group.filter((slot) => !directories.has(slot.voterId)).length;
    const lost = Math.max(countLost(seats), countLost(former));
    const isSettled = directories.size === this.names.length;
    if (seats.length === 0 || !isSettled || lost >= MAX_LOST_DISKS) {
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
      // A read without a response says nothing about the history.
    }
  }
}

/** Options of a schedule besides its faults. */
export interface SettleOptions {
  /** How long a voter may lag before another host gets its slot, in milliseconds. */
  readonly replaceAfterMs?: number;
  /** Maximum number of steps until a command must be accepted again. */
  readonly settleSteps?: number;
  /** Number of commands that are proposed in each step. */
  readonly writesPerStep?: number;
}

/** Runs a schedule, then repairs all faults and lets the voters recover. */
export async function runSchedule(
  seed: number,
  faults: readonly Fault[],
  prepare: (cluster: clusters.Cluster) => void = () => {},
  {
    replaceAfterMs: maxLagMs = Infinity,
    settleSteps = SETTLE_STEPS,
    writesPerStep,
  }: SettleOptions = {},
): Promise<ScheduleRun> {
  const cluster = new clusters.Cluster(VOTERS, seed);
  prepare(cluster);
  await cluster.startAll();
  cluster.faults.lossRate = 0.02;
  cluster.faults.duplicateRate = 0.05;
  cluster.faults.maxDelayMs = 40;
  const run = new ScheduleRun(cluster, maxLagMs, writesPerStep);
  for (const fault of faults) {
    run.inject(fault);
    void run.repairVoterSlots();
    await run.step();
  }
  cluster.heal();
  run.repairDisks();
  run.restartAll();
  run.recoveredAt = cluster.clock.now();
  for (let i = 0; i < SETTLE_STEPS || (i < settleSteps && !run.isServing()); i += 1) {
    void run.repairVoterSlots();
    await run.step();
  }
  return run;
}
