/**
 * @file Log lines of a balancer, each with the inputs of its decision. Lines on single packets are rate-limited
 * (`request-log.ts`); lines on changes of state are always written.
 */
import { unpackHost } from '../../shared/common/address.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { LivenessTransition } from '../ingress/liveness-log.js';
import type { IngressState } from '../ingress/ingress-state.js';
import type { DropReason, FoundBy } from '../ingress/packet-decision.js';
import { urgencyOf } from '../ingress/packet-urgency.js';
import type { PacketView } from '../ingress/packet-view.js';
import { LIVENESS_LABELS } from '../registry/backend-liveness.js';
import type { SchedulerDrop } from '../egress/packet-scheduler.js';
import type { DecisionFields } from './decision-log.js';
import { ejectionFields, resetEvidence } from './evidence-fields.js';
import { feedAgeMs } from './feed-follower.js';
import type { RequestLog } from './request-log.js';

/** Options and dependencies of the log. */
export interface IngressLogOptions {
  readonly state: IngressState;
  nowMs(): number;
  /** Logs a decision that changed the state of this balancer. */
  logDecision(name: string, fields: DecisionFields): void;
  readonly packetLog: RequestLog;
}

/** Outcome of a packet that is not forwarded. */
export type Refusal = 'reset' | 'dropped';

/** Writes the log lines of one balancer. */
export interface IngressLog {
  /** An open was sent to a back end. */
  placed(packet: PacketView, backend: KnownBackend, foundBy: FoundBy): void;
  /** A request with an ID begins in an established flow; the line relates the ID to the flow. */
  request(requestId: string, packet: PacketView, backend: KnownBackend): void;
  /** A packet was not forwarded. */
  refused(refusal: Refusal, reason: DropReason, packet: PacketView): void;
  /** A packet queued for the link was dropped. */
  notSent(reason: SchedulerDrop, flow: string): void;
  /** Logs the evacuated zones if they changed since the last call. */
  changedZones(nowMs: number): void;
  /** Logs back ends that were ejected since the last call. */
  ejections(): void;
  /** The liveness of a back end has changed. */
  changedLiveness(transition: LivenessTransition, nowMs: number): void;
}

/** Loads are logged with two decimal places. */
const LOAD_SCALE = 100;

/** @returns the log of one balancer */
export function createIngressLog(options: IngressLogOptions): IngressLog {
  const { state, packetLog } = options;
  let loggedZonesVersion = 0;

  return { placed, request, refused, notSent, changedZones, ejections, changedLiveness };

  function placed(packet: PacketView, backend: KnownBackend, foundBy: FoundBy): void {
    packetLog.log('placed', {
      flow: describeFlow(packet),
      seq: packet.sequence,
      copy: packet.copyNumber,
      how: foundBy.type,
      ...(foundBy.type === 'chosen' && {
        service: foundBy.service,
        load: Math.round(foundBy.load * LOAD_SCALE) / LOAD_SCALE,
      }),
      backend: backend.id,
      liveness: LIVENESS_LABELS[backend.registration.liveness],
      urgency: urgencyOf(state, packet),
      ...stateFieldsOf(state, options.nowMs()),
    });
  }

  function request(requestId: string, packet: PacketView, backend: KnownBackend): void {
    packetLog.log('request', {
      request: requestId,
      flow: describeFlow(packet),
      seq: packet.sequence,
      backend: backend.id,
      departure: backend.registration.departure,
    });
  }

  function refused(refusal: Refusal, reason: DropReason, packet: PacketView): void {
    if (!isLogged(reason, packet)) {
      return;
    }
    packetLog.log(refusal, {
      reason,
      flow: describeFlow(packet),
      seq: packet.sequence,
      copy: packet.isOpen ? packet.copyNumber : undefined,
      token: packet.token,
      ...(reason === 'backend-dead' && resetEvidence(state, packet.token, options.nowMs())),
      ...stateFieldsOf(state, options.nowMs()),
    });
  }

  function notSent(reason: SchedulerDrop, flow: string): void {
    packetLog.log('dropped', { reason, flow });
  }

  function changedZones(nowMs: number): void {
    const { zones } = state;
    if (zones.version === loggedZonesVersion) {
      return;
    }
    loggedZonesVersion = zones.version;
    const evacuated = zones.describeEvacuated(nowMs) ?? 'none';
    options.logDecision('zones', { evacuated, feedAgeMs: feedAgeMs(state, options.nowMs()) });
  }

  function ejections(): void {
    for (const ejection of state.placement.ejections.takeEjections()) {
      options.logDecision('backend passed over', ejectionFields(ejection, options.nowMs()));
    }
  }

  function changedLiveness({ backend, from, to }: LivenessTransition, nowMs: number): void {
    options.logDecision('backend judged', {
      backend: backend.id,
      from: LIVENESS_LABELS[from],
      to: LIVENESS_LABELS[to],
      silentMs: Math.round(nowMs - backend.registration.lastHeartbeatAtMs),
    });
  }
}

/** State behind a decision on a packet; stale state explains many wrong decisions. */
function stateFieldsOf(state: IngressState, nowMs: number): DecisionFields {
  return {
    config: state.routes.config?.version,
    evacuated: state.zones.describeEvacuated(nowMs),
    feedAgeMs: feedAgeMs(state, nowMs),
  };
}

/** Refused opens are always logged; packets of established flows only if their back end is unknown, dead or restarted. */
function isLogged(reason: DropReason, { isOpen }: PacketView): boolean {
  return (
    isOpen ||
    reason === 'unknown-token' ||
    reason === 'backend-dead' ||
    reason === 'backend-restarted'
  );
}

/** @returns source and destination of a flow as `HOST:PORT>HOST:PORT` */
function describeFlow(packet: PacketView): string {
  const source = `${unpackHost(packet.sourceHost)}:${packet.sourcePort}`;
  return `${source}>${unpackHost(packet.destinationHost)}:${packet.destinationPort}`;
}
