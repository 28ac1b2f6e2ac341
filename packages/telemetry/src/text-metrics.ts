import * as promClient from 'prom-client';

import * as metricCatalogs from './metric-catalog.js';
import type * as metricSinks from './metric-sink.js';

/** What every name begins with. */
const PREFIX = 'bramleyridge_';

/** Upper bounds of the histograms' buckets, in milliseconds: from a plain call of 10 ms to a draft of 40 s. */
const BUCKETS_MS = [5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, 40_000];

/**
 * How many sets of label values one metric keeps. Routes and teams are the operators', hundreds at the size that the
 * design is made for; beyond that memory would grow with what is declared.
 */
const MOST_LABEL_SETS = 500;

/** What stands in place of label values beyond that. */
const OTHER = 'other';

type Kept = promClient.Counter | promClient.Histogram | promClient.Gauge;

/** Metrics as text in the Prometheus format, for whoever fetches them. */
export class TextMetrics implements metricSinks.MetricSink {
  private readonly registry = new promClient.Registry();
  private readonly kept = new Map<metricCatalogs.MetricId, Kept>();
  private readonly labelSets = new Map<metricCatalogs.MetricId, Set<string>>();

  /** Counts one thing that happened. */
  public count(id: metricCatalogs.MetricId, labels: metricSinks.Labels = {}): void {
    const metric = this.find(id);
    if (metric instanceof promClient.Counter) {
      metric.inc(this.bound(id, labels));
    }
  }

  /** Notes a time in milliseconds. */
  public time(id: metricCatalogs.MetricId, ms: number, labels: metricSinks.Labels = {}): void {
    const metric = this.find(id);
    if (metric instanceof promClient.Histogram) {
      metric.observe(this.bound(id, labels), ms);
    }
  }

  /** Has a level read whenever the text is asked for. */
  public watch(id: metricCatalogs.MetricId, read: () => number): void {
    const { help, name } = metricCatalogs.METRICS[id];
    const gauge: promClient.Gauge = new promClient.Gauge({
      name: PREFIX + name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
    this.kept.set(id, gauge);
  }

  /** All metrics as text. */
  public render(): Promise<string> {
    return this.registry.metrics();
  }

  private find(id: metricCatalogs.MetricId): Kept {
    const known = this.kept.get(id) ?? this.create(id);
    this.kept.set(id, known);
    return known;
  }

  private create(id: metricCatalogs.MetricId): Kept {
    const { help, kind, labels, name } = metricCatalogs.METRICS[id];
    const facts = {
      name: PREFIX + name,
      help,
      labelNames: [...labels],
      registers: [this.registry],
    };
    return kind === 'histogram'
      ? new promClient.Histogram({ ...facts, buckets: BUCKETS_MS })
      : new promClient.Counter(facts);
  }

  private bound(id: metricCatalogs.MetricId, labels: metricSinks.Labels): Record<string, string> {
    const sets = this.labelSets.get(id) ?? new Set<string>();
    this.labelSets.set(id, sets);
    const key = JSON.stringify(labels);
    if (sets.has(key) || sets.size < MOST_LABEL_SETS) {
      sets.add(key);
      return { ...labels };
    }
    return Object.fromEntries(Object.keys(labels).map((label) => [label, OTHER]));
  }
}
