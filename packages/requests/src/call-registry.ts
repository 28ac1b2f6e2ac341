import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** How long the response of a finished call is kept for resends, in milliseconds. */
const RETENTION_MS = 600_000;

/** The total size of the response bodies that are kept, in bytes; the oldest calls are removed beyond it. */
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

interface CallEntry {
  state: CallState;
  at: number;
  readonly changed: schemas.ChangeSignal;
}

/** The calls that this daemon claimed, queried by daemons that receive a resend. */
export class CallRegistry {
  private readonly entries = new Map<string, CallEntry>();
  private bytes = 0;

  public constructor(private readonly clock: schemas.Clock) {}

  /** Registers a call before it is claimed. */
  public open(call: string): void {
    this.expire();
    const changed = new schemas.ChangeSignal();
    this.entries.set(call, { state: { state: 'running' }, at: this.clock.now(), changed });
  }

  /** Updates the state of a call; a call that is not registered is ignored. */
  public set(call: string, state: CallState): void {
    const entry = this.entries.get(call);
    if (entry === undefined) {
      return;
    }
    entry.state = state;
    entry.at = this.clock.now();
    this.bytes += state.state === 'done' ? state.answer.body.length : 0;
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
    for (const [call, entry] of this.entries) {
      const isEvictable = entry.at < oldest || this.bytes > MAX_STORED_BYTES;
      if (!isEvictable || entry.state.state === 'running') {
        return;
      }
      this.bytes -= entry.state.state === 'done' ? entry.state.answer.body.length : 0;
      this.entries.delete(call);
    }
  }
}
