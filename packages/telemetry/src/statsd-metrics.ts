import * as hotShots from 'hot-shots';

import type * as metricCatalogs from './metric-catalog.js';
import type * as metricSinks from './metric-sink.js';

/** How often levels are sent, in milliseconds. */
const LEVELS_MS = 10_000;

/** Where metrics are sent, and what every one of them carries. */
export interface StatsdOptions {
  readonly host: string;
  readonly port: number;
  readonly tags: metricSinks.Labels;
}

/** Metrics sent to a StatsD receiver. */
export class StatsdMetrics implements metricSinks.MetricSink {
  private readonly client: hotShots.StatsD;
  private readonly levels = new Map<metricCatalogs.MetricId, () => number>();
  private readonly timer: NodeJS.Timeout;

  public constructor({ host, port, tags }: StatsdOptions) {
    this.client = new hotShots.StatsD({
      host,
      port,
      prefix: 'bramleyridge.',
      globalTags: { ...tags },
      // A receiver that is away loses metrics and nothing else; there is nobody to tell for each datagram.
      errorHandler: () => {},
    });
    this.timer = setInterval(() => this.sendLevels(), LEVELS_MS);
    this.timer.unref();
  }

  /** Counts one thing that happened. */
  public count(id: metricCatalogs.MetricId, labels: metricSinks.Labels = {}): void {
    this.client.increment(id, 1, { ...labels });
  }

  /** Notes a time in milliseconds. */
  public time(id: metricCatalogs.MetricId, ms: number, labels: metricSinks.Labels = {}): void {
    this.client.timing(id, ms, { ...labels });
  }

  /** Has a level read and sent again and again. */
  public watch(id: metricCatalogs.MetricId, read: () => number): void {
    this.levels.set(id, read);
  }

  /** Sends what is buffered and ends. */
  public close(): void {
    clearInterval(this.timer);
    this.client.close(() => {});
  }

  private sendLevels(): void {
    this.levels.forEach((read, id) => this.client.gauge(id, read()));
  }
}
