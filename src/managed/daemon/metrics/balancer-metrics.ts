/**
 * @file The metrics of a balancer.
 */
import { collectDefaultMetrics, Registry } from 'prom-client';
import type { BalancerState } from '../../balancer/balancer-state.js';
import { openLatencyMs } from '../../balancer/open-latencies.js';
import { isLeaseHeld } from '../../dissemination/lease.js';
import type {
  DaemonHealth,
  MetricsSource,
} from '../../../shared/daemon/metrics/metrics-listener.js';
import {
  registerLabelledValues,
  registerValue,
} from '../../../shared/daemon/metrics/state-gauge.js';

const QUANTILES = [0.5, 0.9, 0.99, 0.999];
const MS_PER_SECOND = 1_000;

/**
 * @param nowMs the clock of the balancer's steps
 * @returns what a balancer serves
 */
export function balancerMetrics(state: BalancerState, nowMs: () => number): MetricsSource {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  registerTraffic(registry, state);
  registerConfiguration(registry, state, nowMs);
  return { registry, health: () => balancerHealth(state, nowMs()) };
}

function registerTraffic(registry: Registry, state: BalancerState): void {
  const value = (name: string, help: string, read: () => number): void =>
    registerValue(registry, `amberlift_${name}`, help, read);
  const { limits } = state;
  value('forwarded_packets_total', 'Packets of established flows sent to back ends.', () => {
    return state.forwardedPackets;
  });
  value('opens_received_total', 'Opens of callers.', () => limits.receivedOpens);
  value('opens_sent_total', 'Opens sent to back ends, retries included.', () => limits.sentOpens);
  value('opens_accepted_total', 'Opens that a back end accepted.', () => state.acceptedOpens);
  value('opens_repeated_total', 'Copies of pending opens.', () => limits.repeatedOpens);
  value('open_answers_late_total', 'Answers to opens no longer pending.', () => limits.lateAnswers);
  value('opens_pending', 'Opens that wait for a back end.', () => state.pendingOpens.size);
  registerLabelledValues(
    registry,
    'amberlift_errors_total',
    'Datagrams, opens and answers that ended in each error kind.',
    'kind',
    () => [...state.errorCounts].map(([label, count]) => ({ label, value: count })),
  );
  registerLabelledValues(
    registry,
    'amberlift_open_latency_seconds',
    'Time from an open to its acceptance, by quantile.',
    'quantile',
    () =>
      QUANTILES.map((quantile) => ({
        label: String(quantile),
        value: openLatencyMs(state.openLatencies, quantile) / MS_PER_SECOND,
      })),
  );
}

function registerConfiguration(
  registry: Registry,
  state: BalancerState,
  nowMs: () => number,
): void {
  const value = (name: string, help: string, read: () => number): void =>
    registerValue(registry, `amberlift_${name}`, help, read);
  value('config_index', 'Log index of the configuration in force.', () => state.position.index);
  value('config_services', 'Services in force.', () => state.config.services.size);
  value('live_balancers', 'Balancers that share the traffic.', () => state.fleet.balancerCount);
  value('lease_held', '1 while the lease runs.', () =>
    Number(isLeaseHeld(state.subscription.lease, nowMs())),
  );
  registerLabelledValues(
    registry,
    'amberlift_backends',
    'Back ends by judged state.',
    'state',
    () => {
      const counts = new Map<string, number>();
      for (const { judgement } of state.views.values()) {
        counts.set(judgement.state, (counts.get(judgement.state) ?? 0) + 1);
      }
      return [...counts].map(([label, count]) => ({ label, value: count }));
    },
  );
}

function balancerHealth(state: BalancerState, nowMs: number): DaemonHealth {
  if (state.stopping) {
    return { ready: false, state: 'stopping' };
  }
  if (state.position.index === 0) {
    return { ready: false, state: 'starting' };
  }
  const isHeld = isLeaseHeld(state.subscription.lease, nowMs);
  return { ready: true, state: isHeld ? 'ready' : 'without-lease' };
}
