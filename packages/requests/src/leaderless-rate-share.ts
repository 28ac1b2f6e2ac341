import * as schemas from '@bramleyridge/schemas';

/**
 * Fraction of a limit that all hosts together use while nobody grants sends. The rest is for the chance that more of
 * them than the average draw a send in the same seconds.
 */
const SHARED_FRACTION = 0.7;

/** Length of the time slots in which a host draws its sends, in milliseconds. */
const SLOT_MS = 1_000;

/** Assumed number of hosts before it is known; a host that has just started must not use more than its part. */
const ASSUMED_HOSTS = 400;

/** Number of values of a 32-bit hash. */
const HASH_VALUES = 2 ** 32;

interface SlotUse {
  slot: number;
  sends: number;
}

/**
 * This host's share of a limited rate while nobody grants sends. An equal share of a low rate is less than one call a
 * second, and hundreds of hosts that each saved up one call would send them all at once. So a host draws in each
 * second, by a hash, whether it may send; every host has its turn.
 */
export class LeaderlessRateShare {
  private readonly uses = new Map<string, SlotUse>();

  public constructor(
    private readonly hostId: string,
    /** Number of hosts; `undefined` before it is known. */
    private readonly countHosts: () => number | undefined,
  ) {}

  /** Takes one send to an upstream process from this host's share; returns whether there was one. */
  public take(processId: string, callsPerS: number, now: number): boolean {
    const slot = Math.floor(now / SLOT_MS);
    const used = this.uses.get(processId);
    const sends = used?.slot === slot ? used.sends : 0;
    if (sends >= this.getAllowance(processId, callsPerS, slot)) {
      return false;
    }
    this.dropPast(slot);
    this.uses.set(processId, { slot, sends: sends + 1 });
    return true;
  }

  /** Returns the mean time between two sends of all hosts, in milliseconds. */
  public getMeanWaitMs(callsPerS: number): number {
    return 1_000 / (callsPerS * SHARED_FRACTION);
  }

  private getAllowance(processId: string, callsPerS: number, slot: number): number {
    const hosts = this.countHosts() ?? ASSUMED_HOSTS;
    const share = (callsPerS * SHARED_FRACTION * SLOT_MS) / 1_000 / Math.max(1, hosts);
    const whole = Math.floor(share);
    const drawn = schemas.getHash32(`${this.hostId}/${processId}/${slot}`) / HASH_VALUES;
    return whole + (drawn < share - whole ? 1 : 0);
  }

  private dropPast(slot: number): void {
    this.uses.forEach((use, processId) => {
      if (use.slot !== slot) {
        this.uses.delete(processId);
      }
    });
  }
}
