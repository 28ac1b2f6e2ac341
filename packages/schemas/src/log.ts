/** A structured log; pino satisfies it. */
export interface Log {
  debug(fields: object, msg?: string): void;
  info(fields: object, msg?: string): void;
  warn(fields: object, msg?: string): void;
  error(fields: object, msg?: string): void;
}

/** A log that keeps nothing, for tests and replays. */
export class SilentLog implements Log {
  public debug(): void {}

  public info(): void {}

  public warn(): void {}

  public error(): void {}
}
