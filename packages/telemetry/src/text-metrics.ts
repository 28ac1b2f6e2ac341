import * as promClient from 'prom-client';

import * as metricCatalogs from './metric-catalog.js';
import type * as metricSinks from './metric-sink.js';

/** Prefix of every metric name. */
const NAME_PREFIX = 'bramleyridge_';

/** Upper bounds of histogram buckets, in milliseconds, from a plain call of 10 ms to a long generation of 40 s. */
const BUCKETS_MS = [5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, 40_000];

/**
 * Maximum number of label sets per metric. Operators declare routes and teams, hundreds of them at the size this system
 * is designed for; without a limit, memory would grow with the declared names.
 */
const MAX_LABEL_SETS = 500;

/** Label value of the samples beyond {@link MAX_LABEL_SETS}. */
const OVERFLOW_LABEL = 'other';

type Metric = promClient.Counter | promClient.Histogram | promClient.Gauge;

/** Exposes metrics in the Prometheus text format. */
export class TextMetrics implements metricSinks.MetricSink {
  private readonly registry = new promClient.Registry();
  private readonly metrics = new Map<metricCatalogs.MetricId, Metric>();
  private readonly labelSets = new Map<metricCatalogs.MetricId, Set<string>>();

  /** Increments a counter. */
  public count(id: metricCatalogs.MetricId, labels: metricSinks.Labels = {}): void {
    const metric = this.getOrCreate(id);
    if (metric instanceof promClient.Counter) {
      metric.inc(this.limitLabels(id, labels));
    }
  }

  /** Records a duration, in milliseconds. */
  public time(id: metricCatalogs.MetricId, ms: number, labels: metricSinks.Labels = {}): void {
    const metric = this.getOrCreate(id);
    if (metric instanceof promClient.Histogram) {
      metric.observe(this.limitLabels(id, labels), ms);
    }
  }

  /** Registers a gauge whose value is read whenever the text is rendered. */
  public registerGauge(id: metricCatalogs.MetricId, read: () => number): void {
    const { help, name } = metricCatalogs.METRICS[id];
    const gauge: promClient.Gauge = new promClient.Gauge({
      name: NAME_PREFIX + name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
    this.metrics.set(id, gauge);
  }

  /** Renders all metrics as text. */
  public render(): Promise<string> {
    return this.registry.metrics();
  }

  private getOrCreate(id: metricCatalogs.MetricId): Metric {
    const metric = this.metrics.get(id) ?? this.create(id);
    this.metrics.set(id, metric);
    return metric;
  }

  private create(id: metricCatalogs.MetricId): Metric {
    const { help, kind, labels, name } = metricCatalogs.METRICS[id];
    const options = {
      name: NAME_PREFIX + name,
      help,
      labelNames: [...labels],
      registers: [this.registry],
    };
    return kind === 'histogram'
      ? new promClient.Histogram({ ...options, buckets: BUCKETS_MS })
      : new promClient.Counter(options);
  }

  private limitLabels(
    id: metricCatalogs.MetricId,
    labels: metricSinks.Labels,
  ): Record<string, string> {
    const sets = this.labelSets.get(id) ?? new Set<string>();
    this.labelSets.set(id, sets);
    const key = JSON.stringify(labels);
    if (sets.has(key) || sets.size < MAX_LABEL_SETS) {
      sets.add(key);
      return { ...labels };
    }
    return Object.fromEntries(Object.keys(labels).map((label) => [label, OVERFLOW_LABEL]));
  }
}
