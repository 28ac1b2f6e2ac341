/**
 * Time within which an upstream that exited can't exit again, in milliseconds: a new process takes longer to start and
 * to load its model. The list of upstreams gives no other identity of a process than the upstream's.
 */
const SAME_EXIT_MS = 2_000;

/** Maximum number of exits kept per upstream, and of upstreams. */
const MAX_EXITS = 8;
const MAX_UPSTREAMS = 1_000;

/** The exit of one process; its time is in milliseconds since the epoch. */
interface Exit {
  readonly processId: string;
  readonly at: number;
}

/**
 * Gives each exit of an upstream one id, whichever call was lost by it, and whichever daemon noticed it and when. Without
 * it, one exit counts as several, and a sound part of prompts is barred after fewer exits than are due.
 */
export class ExitRegistry {
  /** Exits by upstream, in the order of their times. */
  private readonly exits = new Map<string, readonly Exit[]>();

  public constructor(private readonly getWallTime: () => number = Date.now) {}

  /**
   * Returns the id of the exit that a call was lost by which was sent `runMs` ago, in milliseconds. A call that was sent
   * before an exit, or shortly after it on a connection of the old process, was lost by that exit, however late the
   * daemon notices.
   */
  public identify(upstreamId: string, runMs: number): string {
    const now = this.getWallTime();
    const sentAt = now - runMs;
    const known = this.list(upstreamId).find(({ at }) => sentAt < at + SAME_EXIT_MS);
    return known?.processId ?? this.add(upstreamId, { processId: `${upstreamId}@${now}`, at: now });
  }

  /** Returns the id that this daemon has given to an exit which another daemon has reported. */
  public translate(processId: string): string {
    const split = processId.lastIndexOf('@');
    const at = Number(processId.slice(split + 1));
    if (split <= 0 || !Number.isFinite(at)) {
      return processId;
    }
    const upstreamId = processId.slice(0, split);
    const known = this.list(upstreamId).find((exit) => Math.abs(exit.at - at) < SAME_EXIT_MS);
    return known?.processId ?? this.add(upstreamId, { processId, at });
  }

  private list(upstreamId: string): readonly Exit[] {
    return this.exits.get(upstreamId) ?? [];
  }

  private add(upstreamId: string, exit: Exit): string {
    const all = [...this.list(upstreamId), exit].sort((one, other) => one.at - other.at);
    this.exits.delete(upstreamId);
    this.exits.set(upstreamId, all.slice(-MAX_EXITS));
    if (this.exits.size > MAX_UPSTREAMS) {
      this.exits.delete([...this.exits.keys()][0]!);
    }
    return exit.processId;
  }
}
