import type * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';

/** Counts and times of this daemon; off unless the settings name a receiver. */
export class Metrics implements telemetry.MetricSink {
  private readonly statsd: telemetry.StatsdMetrics | undefined;
  private readonly sink: telemetry.MetricSink;

  public constructor(cfg: schemas.DaemonConfig) {
    if (cfg.statsd !== undefined) {
      this.statsd = new telemetry.StatsdMetrics({
        ...cfg.statsd,
        tags: { daemon: cfg.daemonId, availability_zone: cfg.availabilityZone },
      });
    }
    this.sink = this.statsd ?? new telemetry.SilentMetrics();
  }

  /** Counts one thing that happened. */
  public count(id: telemetry.MetricId, labels: telemetry.Labels = {}): void {
    this.sink.count(id, labels);
  }

  /** Notes a time in milliseconds. */
  public time(id: telemetry.MetricId, ms: number, labels: telemetry.Labels = {}): void {
    this.sink.time(id, ms, labels);
  }

  /** Has a level read and sent again and again. */
  public watch(id: telemetry.MetricId, read: () => number): void {
    this.sink.watch(id, read);
  }

  /** Sends what is buffered and ends. */
  public close(): void {
    this.statsd?.close();
  }
}
