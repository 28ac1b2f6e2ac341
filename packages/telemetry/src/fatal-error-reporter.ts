import type * as events from 'node:events';

import * as schemas from '@bramleyridge/schemas';

/** Exit code of a process that an unhandled error has ended. */
const FATAL_EXIT_CODE = 1;

/** Dependencies of {@link FatalErrorReporter}. */
export interface FatalErrorReporterOptions {
  /** Writes synchronously, since the process ends with the line. */
  readonly log: Pick<schemas.Log, 'error'>;
  /** Emits `uncaughtException`, also for promises that reject without a handler. */
  readonly source: Pick<events.EventEmitter, 'on'>;
  /** Ends the process. */
  readonly end: (exitCode: number) => void;
}

/** Logs an error that nothing has handled, with its step and its peer, before it ends the process. */
export class FatalErrorReporter {
  private fields: object = {};
  private hasEnded = false;

  public constructor(private readonly options: FatalErrorReporterOptions) {}

  /** Starts reporting. */
  public start(): void {
    this.options.source.on('uncaughtException', (thrown: unknown, origin: string) => {
      this.report(thrown, origin);
    });
  }

  /** Sets the fields that identify this process in the line. */
  public setFields(fields: object): void {
    this.fields = fields;
  }

  private report(thrown: unknown, origin: string): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    const { log, end } = this.options;
    try {
      log.error({
        ...this.fields,
        event: 'process-failed',
        origin,
        ...schemas.describeError(thrown),
      });
    } finally {
      end(FATAL_EXIT_CODE);
    }
  }
}
