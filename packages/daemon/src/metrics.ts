import * as hotShots from 'hot-shots';

import type * as schemas from '@bramleyridge/schemas';

/** Counts and times of this daemon; off unless the settings name a receiver. */
export class Metrics {
  private readonly client: hotShots.StatsD | undefined;

  public constructor(cfg: schemas.DaemonConfig) {
    if (cfg.statsd !== undefined) {
      this.client = new hotShots.StatsD({
        host: cfg.statsd.host,
        port: cfg.statsd.port,
        prefix: 'bramleyridge.',
        globalTags: { daemon: cfg.daemonId, availability_zone: cfg.availabilityZone },
        errorHandler: () => {},
      });
    }
  }

  /** Counts one thing that happened. */
  public count(name: string, tags: Record<string, string> = {}): void {
    this.client?.increment(name, 1, tags);
  }

  /** Notes a time in milliseconds. */
  public time(name: string, ms: number, tags: Record<string, string> = {}): void {
    this.client?.timing(name, ms, tags);
  }

  /** Notes a level. */
  public gauge(name: string, value: number): void {
    this.client?.gauge(name, value);
  }

  /** Sends what is buffered and ends. */
  public close(): void {
    this.client?.close(() => {});
  }
}
