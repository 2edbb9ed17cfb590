/**
 * @file Prometheus metrics and health status of a balancer.
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
 * @param nowMs the clock that the balancer's state machine uses
 * @returns the metrics and the health status of a balancer
 */
export function balancerMetrics(state: BalancerState, nowMs: () => number): MetricsSource {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  registerTraffic(registry, state);
  registerConfiguration(registry, state, nowMs);
  return { registry, health: () => balancerHealth(state, nowMs()) };
}

function registerTraffic(registry: Registry, state: BalancerState): void {
  const register = (name: string, help: string, read: () => number): void =>
    registerValue(registry, `amberlift_${name}`, help, read);
  const { limits } = state;
  register('forwarded_packets_total', 'Packets of established flows sent to back ends.', () => {
    return state.forwardedPackets;
  });
  register('opens_received_total', 'Opens of callers.', () => limits.receivedOpens);
  register(
    'opens_sent_total',
    'Opens sent to back ends, retries included.',
    () => limits.sentOpens,
  );
  register('opens_accepted_total', 'Opens that a back end accepted.', () => state.acceptedOpens);
  register('opens_repeated_total', 'Copies of pending opens.', () => limits.repeatedOpens);
  register(
    'open_answers_late_total',
    'Answers to opens no longer pending.',
    () => limits.lateAnswers,
  );
  register('opens_pending', 'Opens that wait for a back end.', () => state.pendingOpens.size);
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
  const register = (name: string, help: string, read: () => number): void =>
    registerValue(registry, `amberlift_${name}`, help, read);
  register('config_index', 'Log index of the configuration in force.', () => state.position.index);
  register('config_services', 'Services in force.', () => state.config.services.size);
  register('live_balancers', 'Balancers that share the traffic.', () => state.fleet.balancerCount);
  register('lease_held', '1 while the lease runs.', () =>
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
