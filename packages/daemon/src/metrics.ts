import type * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';

/** The metrics of this daemon; discarded unless the settings name a statsd receiver. */
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

  /** Increments a counter. */
  public count(id: telemetry.MetricId, labels: telemetry.Labels = {}): void {
    this.sink.count(id, labels);
  }

  /** Records a duration in milliseconds. */
  public time(id: telemetry.MetricId, ms: number, labels: telemetry.Labels = {}): void {
    this.sink.time(id, ms, labels);
  }

  /** Registers a gauge that is read and sent periodically. */
  public registerGauge(id: telemetry.MetricId, read: () => number): void {
    this.sink.registerGauge(id, read);
  }

  /** Sends buffered metrics and closes the socket. */
  public close(): void {
    this.statsd?.close();
  }
}
