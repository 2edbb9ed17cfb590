/**
 * @file Prometheus metrics and health status of a control machine.
 */
import { collectDefaultMetrics, Registry } from 'prom-client';
import type { ControlState } from '../../control/control-state.js';
import { balancerReports } from '../../dissemination/publisher.js';
import type { MetricsSource } from '../../../shared/daemon/metrics/metrics-listener.js';
import {
  registerLabelledValues,
  registerValue,
} from '../../../shared/daemon/metrics/state-gauge.js';

/**
 * @returns the metrics and the health status of a control machine
 */
export function controlMetrics(state: ControlState): MetricsSource {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const { consensus, cluster } = state;
  const register = (name: string, help: string, read: () => number): void =>
    registerValue(registry, `amberlift_${name}`, help, read);
  register('consensus_term', 'Term of this machine.', () => consensus.term);
  register(
    'consensus_commit_index',
    'Highest index known as committed.',
    () => consensus.commitIndex,
  );
  register('consensus_is_leader', '1 at the leader.', () =>
    Number(consensus.role.name === 'leader'),
  );
  register('storage_failed', '1 once the disk has failed.', () => Number(consensus.storageFailed));
  register('applied_index', 'Index of the last entry applied.', () => cluster.index);
  register('config_services', 'Services accepted.', () => cluster.routing.services.size);
  register('config_backends', 'Back ends accepted.', () => cluster.routing.backends.size);
  registerLabelledValues(
    registry,
    'amberlift_balancer_config_index',
    'Log index in force at each balancer that reports here.',
    'balancer',
    () =>
      [...balancerReports(state.publisher)].map(({ balancerId, index }) => ({
        label: balancerId,
        value: index,
      })),
  );
  return {
    registry,
    health: () =>
      consensus.storageFailed
        ? { ready: false, state: 'storage-failed' }
        : { ready: true, state: consensus.role.name },
  };
}
