/**
 * @file Metrics of a balancer that forwards by 32-bit tokens.
 */
import { collectDefaultMetrics, Registry } from 'prom-client';
import { fleetAnswerStats } from '../../decisions/fleet-answer-stats.js';
import type { AnswerStats } from '../../load-exchange/answer-stats.js';
import { LIVENESS_LABELS } from '../../registry/backend-liveness.js';
import { isFeedCurrent } from '../../ingress/ingress-state.js';
import { busyInFleet } from '../../ingress/known-backend.js';
import type { IngressProcess } from '../ingress-process.js';
import { peerAgeMs } from '../peer-feed/peer-feed-follower.js';
import type { PeerFeeds } from '../peer-feed/peer-feeds.js';
import type { MetricsSource } from '../../../shared/daemon/metrics/metrics-listener.js';
import {
  registerLabelledValues,
  registerValue,
  type LabelledValue,
} from '../../../shared/daemon/metrics/state-gauge.js';

const MS_PER_SECOND = 1_000;

/**
 * @param nowMs the clock of the process
 * @returns the metrics and health of a balancer
 */
export function ingressMetrics(process: IngressProcess, nowMs: () => number): MetricsSource {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  registerPackets(registry, process);
  registerBackends(registry, process);
  registerAnswers(registry, process, nowMs);
  registerConfiguration(registry, process, nowMs);
  if (process.peerFeeds !== undefined) {
    registerPeerFeeds(registry, process, process.peerFeeds, nowMs);
  }
  registerSending(registry, process);
  return {
    registry,
    health: () => ({ ready: process.isReady, state: healthOf(process) }),
  };
}

function registerPackets(registry: Registry, { counts }: IngressProcess): void {
  const countsWithPrefix = (prefix: string): LabelledValue[] =>
    [...counts]
      .filter(([name]) => name.startsWith(prefix))
      .map(([name, value]) => ({ label: name.slice(prefix.length), value }));
  const registerMetric = (name: string, help: string, read: () => number) =>
    registerValue(registry, `amberlift_ingress_${name}`, help, read);
  registerMetric(
    'forwarded_packets_total',
    'Packets sent to back ends.',
    () => counts.get('forwarded') ?? 0,
  );
  registerMetric('malformed_packets_total', 'Datagrams that are no packet.', () => {
    return counts.get('malformed') ?? 0;
  });
  registerLabelledValues(
    registry,
    'amberlift_ingress_opens_total',
    'Opens sent to back ends, by how the back end was found.',
    'how',
    () => countsWithPrefix('opened:'),
  );
  registerLabelledValues(
    registry,
    'amberlift_ingress_resets_total',
    'Opens refused by a reset, by reason.',
    'reason',
    () => countsWithPrefix('reset:'),
  );
  registerLabelledValues(
    registry,
    'amberlift_ingress_dropped_packets_total',
    'Packets dropped, by reason; unknown-token is a token miss.',
    'reason',
    () => countsWithPrefix('dropped:'),
  );
  registerLabelledValues(
    registry,
    'amberlift_ingress_early_packets_total',
    'Packets that arrived before the first feed: kept, not kept since the buffer was full, released, and expired.',
    'outcome',
    () => countsWithPrefix('early:'),
  );
}

function registerBackends(registry: Registry, { state }: IngressProcess): void {
  registerLabelledValues(
    registry,
    'amberlift_ingress_backend_requests',
    'Requests that seem to be in progress at a back end, over all balancers.',
    'backend',
    () =>
      [...state.backends.all()].map((backend) => ({
        label: backend.id,
        value: busyInFleet(backend),
      })),
  );
  registerLabelledValues(
    registry,
    'amberlift_ingress_backends',
    'Back ends known, by what is judged of them.',
    'state',
    () => {
      const counts = new Map<string, number>();
      for (const { registration } of state.backends.all()) {
        const label = registration.departure ?? LIVENESS_LABELS[registration.liveness];
        counts.set(label, (counts.get(label) ?? 0) + 1);
      }
      return [...counts].map(([label, value]) => ({ label, value }));
    },
  );
  registerValue(
    registry,
    'amberlift_ingress_counted_flows',
    'Flows that are counted for placement.',
    () => state.activities.size,
  );
}

/** Inputs of placement, summed over all balancers. */
function registerAnswers(registry: Registry, { state }: IngressProcess, nowMs: () => number): void {
  const registerPerBackend = (name: string, help: string, read: (stats: AnswerStats) => number) =>
    registerLabelledValues(registry, `amberlift_ingress_backend_${name}`, help, 'backend', () =>
      [...state.backends.all()].map((backend) => ({
        label: backend.id,
        value: read(fleetAnswerStats(backend, nowMs())),
      })),
    );
  registerPerBackend('answer_ms', 'Mean time of the answers of the last seconds.', (stats) =>
    stats.answered > 0 ? stats.answerMs / stats.answered : 0,
  );
  registerPerBackend(
    'short_answers',
    'Answers of the last seconds that were far shorter than usual.',
    ({ short }) => short,
  );
  registerPerBackend(
    'stalled_flows',
    'Flows whose clients repeat what nobody takes.',
    ({ stalled }) => stalled,
  );
  registerLabelledValues(
    registry,
    'amberlift_ingress_passed_over_backends',
    'Back ends that get no new flows since they fail, by what they show.',
    'failure',
    () =>
      [...state.placement.ejections.ejectedByFailure(nowMs())].map(([label, value]) => ({
        label,
        value,
      })),
  );
}

function registerConfiguration(
  registry: Registry,
  { state }: IngressProcess,
  nowMs: () => number,
): void {
  const registerMetric = (name: string, help: string, read: () => number) =>
    registerValue(registry, `amberlift_ingress_${name}`, help, read);
  registerMetric('config_version', 'Version of the configuration in force here.', () => {
    return state.routes.config?.version ?? 0;
  });
  registerMetric('routes', 'Routes in force here.', () => state.routes.size);
  registerMetric(
    'feed_age_seconds',
    'Time since a control machine said that what it tells is current.',
    () => {
      const { lastCurrentAtMs } = state.feedStatus;
      return lastCurrentAtMs === undefined ? -1 : (nowMs() - lastCurrentAtMs) / MS_PER_SECOND;
    },
  );
  registerMetric('knows_current', '1 where what is known here was current a moment ago.', () =>
    Number(isFeedCurrent(state, nowMs())),
  );
  registerMetric('known_balancers', 'Other balancers that are known here.', () => state.peers.size);
}

/** Present where peer feeds are on. */
function registerPeerFeeds(
  registry: Registry,
  { state }: IngressProcess,
  peerFeeds: PeerFeeds,
  nowMs: () => number,
): void {
  const registerMetric = (name: string, help: string, read: () => number) =>
    registerValue(registry, `amberlift_ingress_${name}`, help, read);
  registerMetric('peer_fed', '1 while another balancer feeds this one.', () =>
    Number(state.peerKnowledge.isFed),
  );
  registerMetric(
    'peer_feed_age_seconds',
    'Time since the balancer that feeds this one was current; -1 without one.',
    () => {
      const ageMs = peerAgeMs(state, nowMs());
      return ageMs === undefined ? -1 : ageMs / MS_PER_SECOND;
    },
  );
  registerMetric('peer_subscribers', 'Balancers that this one feeds.', () => peerFeeds.subscribers);
}

/** Drops by the sender are part of `dropped_packets_total`. */
function registerSending(registry: Registry, { sender }: IngressProcess): void {
  registerValue(
    registry,
    'amberlift_ingress_queued_bytes',
    'Bytes of packets that wait for the link of the machine.',
    () => sender.queuedBytes,
  );
  registerValue(
    registry,
    'amberlift_ingress_merged_packets_total',
    'Retransmissions that took the place of a packet that still waited.',
    () => sender.counts.merged,
  );
  registerLabelledValues(
    registry,
    'amberlift_ingress_waited_packets_total',
    'Packets that waited for the link, by the upper bound of their time in milliseconds.',
    'upToMs',
    () => [...sender.counts.waitedMs].map(([label, value]) => ({ label: String(label), value })),
  );
}

function healthOf({ state, isReady }: IngressProcess): string {
  if (state.isStopping) {
    return 'stopping';
  }
  return isReady ? 'ready' : 'starting';
}
