import type * as metricCatalogs from './metric-catalog.js';

/** Label values by label. */
export type Labels = Readonly<Record<string, string>>;

/** Where metrics go. */
export interface MetricSink {
  /** Counts one thing that happened. */
  count(id: metricCatalogs.MetricId, labels?: Labels): void;
  /** Notes a time in milliseconds. */
  time(id: metricCatalogs.MetricId, ms: number, labels?: Labels): void;
  /** Has a level read whenever metrics are looked at. */
  watch(id: metricCatalogs.MetricId, read: () => number): void;
}

/** Metrics that go nowhere. */
export class SilentMetrics implements MetricSink {
  public count(): void {}

  public time(): void {}

  public watch(): void {}
}
