/**
 * @file Gauges that read their values from a daemon's state on each scrape, so that the hot path doesn't update metrics.
 */
import { Gauge, type Registry } from 'prom-client';

/** A label value and the value of the metric for it. */
export interface LabelledValue {
  readonly label: string;
  readonly value: number;
}

/**
 * Registers a metric without labels.
 * @param read called on each scrape
 */
export function registerValue(
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect: () => gauge.set(read()),
  });
}

/**
 * Registers a metric with one label.
 * @param read called on each scrape; label values that it no longer returns are removed
 */
export function registerLabelledValues(
  registry: Registry,
  name: string,
  help: string,
  labelName: string,
  read: () => Iterable<LabelledValue>,
): void {
  const gauge: Gauge = new Gauge({
    name,
    help,
    labelNames: [labelName],
    registers: [registry],
    collect: () => {
      gauge.reset();
      for (const { label, value } of read()) {
        gauge.set({ [labelName]: label }, value);
      }
    },
  });
}
