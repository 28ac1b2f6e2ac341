/** A structured log; a pino logger implements it. */
export interface Log {
  debug(fields: object, msg?: string): void;
  info(fields: object, msg?: string): void;
  warn(fields: object, msg?: string): void;
  error(fields: object, msg?: string): void;
}

/** Discards all lines, for tests and replays. */
export class SilentLog implements Log {
  public debug(): void {}

  public info(): void {}

  public warn(): void {}

  public error(): void {}
}
