import * as hotShots from 'hot-shots';

import type * as metricCatalogs from './metric-catalog.js';
import type * as metricSinks from './metric-sink.js';

/** Interval at which gauges are sent, in milliseconds. */
const GAUGE_INTERVAL_MS = 10_000;

/** Address of the StatsD receiver, and tags added to every metric. */
export interface StatsdOptions {
  readonly host: string;
  readonly port: number;
  readonly tags: metricSinks.Labels;
}

/** Sends metrics to a StatsD receiver. */
export class StatsdMetrics implements metricSinks.MetricSink {
  private readonly client: hotShots.StatsD;
  private readonly gauges = new Map<metricCatalogs.MetricId, () => number>();
  private readonly timer: NodeJS.Timeout;

  public constructor({ host, port, tags }: StatsdOptions) {
    this.client = new hotShots.StatsD({
      host,
      port,
      prefix: 'bramleyridge.',
      globalTags: { ...tags },
      // If the receiver is unreachable, only metrics are lost; an error report per datagram would be of no use.
      errorHandler: () => {},
    });
    this.timer = setInterval(() => this.sendGauges(), GAUGE_INTERVAL_MS);
    this.timer.unref();
  }

  /** Increments a counter. */
  public count(id: metricCatalogs.MetricId, labels: metricSinks.Labels = {}): void {
    this.client.increment(id, 1, { ...labels });
  }

  /** Records a duration, in milliseconds. */
  public time(id: metricCatalogs.MetricId, ms: number, labels: metricSinks.Labels = {}): void {
    this.client.timing(id, ms, { ...labels });
  }

  /** Registers a gauge whose value is read and sent periodically. */
  public registerGauge(id: metricCatalogs.MetricId, read: () => number): void {
    this.gauges.set(id, read);
  }

  /** Flushes buffered metrics and closes the socket. */
  public close(): void {
    clearInterval(this.timer);
    this.client.close(() => {});
  }

  private sendGauges(): void {
    this.gauges.forEach((read, id) => this.client.gauge(id, read()));
  }
}
