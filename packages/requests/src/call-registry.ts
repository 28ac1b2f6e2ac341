import * as schemas from '@bramleyridge/schemas';
import * as z from 'zod';

/** How long a finished call's answer is kept for resends, in milliseconds. */
const KEEP_MS = 600_000;

/** The most bytes of answers that are kept. */
const MAX_BYTES = 32 * 1024 * 1024;

/** An answer of a plain service, as it is kept for a resend. */
export const keptAnswer = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

/** An answer of a plain service, as it is kept for a resend. */
export type KeptAnswer = z.infer<typeof keptAnswer>;

/** What a daemon knows of a call that it claimed. */
export const callState = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('dispatched') }),
  z.object({ state: z.literal('not-run') }),
  z.object({ state: z.literal('lost') }),
  z.object({ state: z.literal('done'), answer: keptAnswer }),
]);

/** What a daemon knows of a call that it claimed. */
export type CallState = z.infer<typeof callState>;

interface Row {
  state: CallState;
  at: number;
  readonly changed: schemas.ChangeSignal;
}

/** The claimed calls of this daemon, for resends that arrive elsewhere. */
export class CallRegistry {
  private readonly rows = new Map<string, Row>();
  private bytes = 0;

  public constructor(private readonly clock: schemas.Clock) {}

  /** Notes a call before it is claimed. */
  public open(call: string): void {
    this.expire();
    const changed = new schemas.ChangeSignal();
    this.rows.set(call, { state: { state: 'running' }, at: this.clock.now(), changed });
  }

  /** Notes how a call went on. */
  public set(call: string, state: CallState): void {
    const row = this.rows.get(call);
    if (row === undefined) {
      return;
    }
    row.state = state;
    row.at = this.clock.now();
    this.bytes += state.state === 'done' ? state.answer.body.length : 0;
    row.changed.notify();
  }

  /** How a call stands, waiting up to `waitMs` while it runs; `lost` when this process does not know it. */
  public async await(call: string, waitMs: number): Promise<CallState> {
    const end = this.clock.now() + waitMs;
    for (;;) {
      const row = this.rows.get(call);
      if (row === undefined) {
        return { state: 'lost' };
      }
      const restMs = end - this.clock.now();
      if (row.state.state !== 'running' || restMs <= 0) {
        return row.state;
      }
      await row.changed.wait(this.clock, restMs);
    }
  }

  private expire(): void {
    const oldest = this.clock.now() - KEEP_MS;
    for (const [call, row] of this.rows) {
      const isOver = row.at < oldest || this.bytes > MAX_BYTES;
      if (!isOver || row.state.state === 'running') {
        return;
      }
      this.bytes -= row.state.state === 'done' ? row.state.answer.body.length : 0;
      this.rows.delete(call);
    }
  }
}
