import type * as metricCatalogs from './metric-catalog.js';

/** Label values by label name. */
export type Labels = Readonly<Record<string, string>>;

/** Receives metrics. */
export interface MetricSink {
  /** Increments a counter. */
  count(id: metricCatalogs.MetricId, labels?: Labels): void;
  /** Records a duration, in milliseconds. */
  time(id: metricCatalogs.MetricId, ms: number, labels?: Labels): void;
  /** Registers a gauge whose value is read whenever metrics are collected. */
  registerGauge(id: metricCatalogs.MetricId, read: () => number): void;
}

/** Discards all metrics. */
export class SilentMetrics implements MetricSink {
  public count(): void {}

  public time(): void {}

  public registerGauge(): void {}
}
