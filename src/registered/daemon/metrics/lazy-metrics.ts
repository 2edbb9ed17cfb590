/**
 * @file Metrics listeners that load the metrics modules on the first scrape.
 */
import type { RequestListener } from 'node:http';
import type { GroupDaemon } from '../group-daemon.js';
import type { IngressDaemon } from '../ingress-daemon.js';
import { createMetricsListener } from '../../../shared/daemon/metrics/metrics-listener.js';

const nowMs = () => performance.now();

/** @returns the metrics listener of a balancer */
export function ingressMetricsListener({ process }: IngressDaemon): RequestListener {
  return createMetricsListener(async () => {
    const { ingressMetrics } = await import('./ingress-metrics.js');
    return ingressMetrics(process, nowMs);
  });
}

/** @returns the metrics listener of a control machine */
export function groupMetricsListener({ group }: GroupDaemon): RequestListener {
  return createMetricsListener(async () => {
    const { groupMetrics } = await import('./group-metrics.js');
    const { source, observer } = groupMetrics(group, nowMs);
    group.observer = observer;
    return source;
  });
}
