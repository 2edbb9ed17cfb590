/**
 * @file Metrics of a control machine of a group.
 */
import { collectDefaultMetrics, Histogram, Registry } from 'prom-client';
import { votersOf } from '../../../shared/consensus/membership.js';
import { currentMembership } from '../../../shared/consensus/consensus-state.js';
import type { GroupState } from '../../group/group-state.js';
import { isCurrent } from '../../group/leadership.js';
import type { GroupObserver, GroupProcess } from '../group-process.js';
import type { MetricsSource } from '../../../shared/daemon/metrics/metrics-listener.js';
import {
  registerLabelledValues,
  registerValue,
} from '../../../shared/daemon/metrics/state-gauge.js';

const MS_PER_SECOND = 1_000;
const LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Metrics of a control machine, and the observer that feeds its histograms. */
export interface GroupMetrics {
  readonly source: MetricsSource;
  /** Records latencies; to be installed in the process. */
  readonly observer: GroupObserver;
}

/**
 * @param nowMs the clock of the process
 * @returns the metrics and health of a control machine
 */
export function groupMetrics(process: GroupProcess, nowMs: () => number): GroupMetrics {
  const registry = new Registry();
  const { state } = process;
  collectDefaultMetrics({ register: registry });
  registerConsensus(registry, state, nowMs);
  registerState(registry, process);
  return {
    source: {
      registry,
      health: () => {
        const ready = isCurrent(state, nowMs());
        return { ready, state: state.consensus.role.name };
      },
    },
    observer: latencyObserver(registry),
  };
}

function registerConsensus(registry: Registry, state: GroupState, nowMs: () => number): void {
  const { consensus } = state;
  const registerMetric = (name: string, help: string, read: () => number) =>
    registerValue(registry, `amberlift_group_${name}`, help, read);
  registerMetric('term', 'Term of this machine.', () => consensus.term);
  registerMetric('is_leader', '1 at the leader.', () => Number(consensus.role.name === 'leader'));
  registerMetric(
    'is_current',
    '1 where this machine leads a quorum or heard its leader lately.',
    () => Number(isCurrent(state, nowMs())),
  );
  registerMetric('commit_index', 'Highest index known as committed.', () => consensus.commitIndex);
  registerMetric('log_entries', 'Entries behind the last snapshot.', () => {
    return consensus.log.last.index - (consensus.snapshot?.index ?? 0);
  });
  registerMetric('voters', 'Voters of the group as this machine knows it.', () => {
    return votersOf(currentMembership(consensus)).length;
  });
  registerMetric(
    'leader_contact_age_seconds',
    'Time since the leader was heard; at the leader, the longest time since a voter was.',
    () => {
      return contactAgeMs(state, nowMs()) / MS_PER_SECOND;
    },
  );
}

function contactAgeMs({ consensus }: GroupState, nowMs: number): number {
  const { role, leaderContactAtMs } = consensus;
  if (role.name !== 'leader') {
    return Math.max(0, nowMs - leaderContactAtMs);
  }
  const receivedAtMs = [...role.progress.values()].map((progress) => progress.receivedAtMs);
  return Math.max(0, nowMs - Math.min(nowMs, ...receivedAtMs));
}

function registerState(registry: Registry, { state, counts }: GroupProcess): void {
  const registerMetric = (name: string, help: string, read: () => number) =>
    registerValue(registry, `amberlift_group_${name}`, help, read);
  registerMetric('config_version', 'Version of the configuration that holds here.', () => {
    return state.configs.version;
  });
  registerMetric(
    'registered_backends',
    'Back ends whose heartbeats are known.',
    () => state.registry.size,
  );
  registerMetric(
    'departures',
    'Departures that are kept.',
    () => state.replicated.allDepartures().length,
  );
  registerMetric(
    'fed_balancers',
    'Balancers that get their feed here.',
    () => state.subscribers.size,
  );
  registerMetric(
    'waiting_calls',
    'Calls that wait for their answer.',
    () => state.calls.clientCallCount,
  );
  registerLabelledValues(
    registry,
    'amberlift_group_calls_total',
    'Calls of back ends and operators, by kind and answer.',
    'call',
    () => [...counts].map(([label, count]) => ({ label, value: count })),
  );
}

function latencyObserver(registry: Registry): GroupObserver {
  const calls = new Histogram({
    name: 'amberlift_group_call_seconds',
    help: 'Time from a call to its answer, since the first scrape.',
    labelNames: ['call'],
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  });
  const writes = new Histogram({
    name: 'amberlift_group_synced_write_seconds',
    help: 'Time of one synced write of the log or a snapshot, since the first scrape.',
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  });
  return {
    onReplied: (call, latencyMs) => calls.observe({ call }, latencyMs / MS_PER_SECOND),
    onPersisted: (latencyMs) => writes.observe(latencyMs / MS_PER_SECOND),
  };
}
