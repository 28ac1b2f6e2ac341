import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** How long the response of a finished call is kept for resends, in milliseconds. */
const RETENTION_MS = 600_000;

/** The total size of the response bodies that are kept, in bytes; the oldest are dropped beyond it. */
const MAX_STORED_BYTES = 32 * 1024 * 1024;

/** The response of a plain service, as it is kept for a resend. */
export const storedResponse = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

/** The response of a plain service, as it is kept for a resend. */
export type StoredResponse = z.infer<typeof storedResponse>;

/** The state of a call at the daemon that claimed it. */
export const callState = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('dispatched') }),
  z.object({ state: z.literal('not-run') }),
  z.object({ state: z.literal('lost') }),
  z.object({ state: z.literal('done'), answer: storedResponse }),
]);

/** The state of a call at the daemon that claimed it. */
export type CallState = z.infer<typeof callState>;

/** Memory of an entry beside the body of its response, in bytes. */
export const CALL_ENTRY_BYTES = 1_024;

/** Share of the entries that one team may have. */
const TEAM_SHARE = 0.5;

/** Number of the oldest entries that are checked with each new one. */
const CHECKED_ENTRIES = 64;

interface CallEntry {
  state: CallState;
  at: number;
  readonly team: string;
  readonly changed: schemas.ChangeSignal;
}

/** What the calls of one team take. */
interface TeamUse {
  entries: number;
  storedBytes: number;
  /** Calls whose responses are kept, the oldest first. */
  readonly stored: Map<string, CallEntry>;
}

/**
 * The calls that this daemon claimed, queried by daemons that receive a resend. A call stays for as long as a resend may
 * join it; when there is no room, new keys are refused instead.
 */
export class CallRegistry {
  private readonly entries = new Map<string, CallEntry>();
  private readonly teams = new Map<string, TeamUse>();
  private storedBytes = 0;

  /** Keeps up to `maxEntries` calls. */
  public constructor(
    private readonly clock: schemas.Clock,
    private readonly maxEntries = Infinity,
  ) {}

  /** Returns the number of calls that are kept. */
  public count(): number {
    return this.entries.size;
  }

  /** Registers a call before it is claimed; throws if there is no room for another one of its team. */
  public open(call: string, team: string): void {
    this.expire();
    const use = this.teams.get(team) ?? { entries: 0, storedBytes: 0, stored: new Map() };
    if (this.entries.size >= this.maxEntries || use.entries >= this.maxEntries * TEAM_SHARE) {
      const args = [team, use.entries];
      throw new schemas.StepError({ id: 'keysFull', step: 'register-call', args });
    }
    use.entries += 1;
    this.teams.set(team, use);
    const changed = new schemas.ChangeSignal();
    const state = { state: 'running' } as const;
    this.entries.set(call, { state, at: this.clock.now(), team, changed });
  }

  /** Updates the state of a call; a call that is not registered is ignored. */
  public set(call: string, state: CallState): void {
    const entry = this.entries.get(call);
    if (entry === undefined) {
      return;
    }
    this.replaceState(call, entry, state);
    entry.at = this.clock.now();
    this.dropResponses();
    entry.changed.notify();
  }

  /**
   * Returns the state of a call, waiting up to `waitMs` while it is running; `lost` when this process has no entry.
   */
  public async await(call: string, waitMs: number): Promise<CallState> {
    const end = this.clock.now() + waitMs;
    for (;;) {
      const entry = this.entries.get(call);
      if (entry === undefined) {
        return { state: 'lost' };
      }
      const remainingMs = end - this.clock.now();
      if (entry.state.state !== 'running' || remainingMs <= 0) {
        return entry.state;
      }
      await entry.changed.wait(this.clock, remainingMs);
    }
  }

  private expire(): void {
    const oldest = this.clock.now() - RETENTION_MS;
    let checked = 0;
    for (const [call, entry] of this.entries) {
      checked += 1;
      if (checked > CHECKED_ENTRIES) {
        return;
      }
      if (entry.at < oldest && entry.state.state !== 'running') {
        this.remove(call, entry);
      }
    }
  }

  private remove(call: string, entry: CallEntry): void {
    this.replaceState(call, entry, { state: 'lost' });
    this.entries.delete(call);
    const use = this.teams.get(entry.team);
    if (use === undefined) {
      return;
    }
    use.entries -= 1;
    if (use.entries === 0) {
      this.teams.delete(entry.team);
    }
  }

  /** Drops the oldest responses of the team that has the most, while all take too much; a resend is then told so. */
  private dropResponses(): void {
    while (this.storedBytes > MAX_STORED_BYTES) {
      const [oldest] = this.findLargestTeam()?.stored ?? [];
      if (oldest === undefined) {
        return;
      }
      this.replaceState(...oldest, { state: 'lost' });
    }
  }

  private findLargestTeam(): TeamUse | undefined {
    let largest: TeamUse | undefined;
    this.teams.forEach((use) => {
      if (use.storedBytes > (largest?.storedBytes ?? 0)) {
        largest = use;
      }
    });
    return largest;
  }

  private replaceState(call: string, entry: CallEntry, state: CallState): void {
    const bytes = countStoredBytes(state) - countStoredBytes(entry.state);
    entry.state = state;
    this.storedBytes += bytes;
    const use = this.teams.get(entry.team);
    if (use === undefined) {
      return;
    }
    use.storedBytes += bytes;
    use.stored.delete(call);
    if (state.state === 'done') {
      use.stored.set(call, entry);
    }
  }
}

function countStoredBytes(state: CallState): number {
  return state.state === 'done' ? state.answer.body.length : 0;
}
