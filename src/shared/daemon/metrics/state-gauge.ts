/**
 * @file Metrics that are read out of a daemon's state when they are asked for, so that counting costs
 * the hot path nothing but the count itself.
 */
import { Gauge, type Registry } from 'prom-client';

/** One value of a metric that has a label. */
export interface LabelledValue {
  readonly label: string;
  readonly value: number;
}

/**
 * Registers a metric without labels.
 * @param read called for each scrape
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
 * @param read called for each scrape; values that it no longer gives are dropped
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
