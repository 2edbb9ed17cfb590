/**
 * @file The log lines of a balancer, each with the inputs of the decision that it is about. `docs/OPERATIONS.md` leads
 * from these lines to the rules.
 *
 * Lines on packets go through a budget (`request-log.ts`), since they may be as many as packets; lines on what this
 * balancer believes are few and written at once.
 */
import { unpackHost } from '../../shared/common/address.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { LivenessTransition } from '../ingress/liveness-log.js';
import type { IngressState } from '../ingress/ingress-state.js';
import type { DropReason, FoundBy } from '../ingress/packet-decision.js';
import type { PacketView } from '../ingress/packet-view.js';
import { LIVENESS_LABELS } from '../registry/backend-liveness.js';
import type { SchedulerDrop } from '../egress/packet-scheduler.js';
import type { DecisionFields } from './decision-log.js';
import { feedAgeMs } from './feed-follower.js';
import type { RequestLog } from './request-log.js';

/** Where lines go. */
export interface IngressLogOptions {
  readonly state: IngressState;
  nowMs(): number;
  /** Writes the line of a decision that changed what this balancer believes. */
  logDecision(name: string, fields: DecisionFields): void;
  readonly packetLog: RequestLog;
}

/** What becomes of a packet that is not forwarded. */
export type Refusal = 'reset' | 'dropped';

/** Writes the lines of one balancer. */
export interface IngressLog {
  /** An open was sent to a back end. */
  placed(packet: PacketView, backend: KnownBackend, foundBy: FoundBy): void;
  /** A request with an ID begins in a packet of an established flow: ties the ID to the flow. */
  request(requestId: string, packet: PacketView, backend: KnownBackend): void;
  /** A packet was not forwarded. */
  refused(refusal: Refusal, reason: DropReason, packet: PacketView): void;
  /** A packet that waited for the link was not sent. */
  notSent(reason: SchedulerDrop, flow: string): void;
  /** The set of evacuated zones is another one than at the call before. */
  changedZones(nowMs: number): void;
  /** Back ends were ejected since the call before. */
  ejections(): void;
  /** The liveness of a back end is another one. */
  changedLiveness(transition: LivenessTransition, nowMs: number): void;
}

/** Loads are logged with two digits behind the point. */
const LOAD_DIGITS = 100;

/** @returns the log of a balancer that has written nothing */
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
        load: Math.round(foundBy.load * LOAD_DIGITS) / LOAD_DIGITS,
      }),
      backend: backend.id,
      liveness: LIVENESS_LABELS[backend.registration.liveness],
      ...knowledgeOf(state, options.nowMs()),
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
    if (!isWorthALine(reason, packet)) {
      return;
    }
    packetLog.log(refusal, {
      reason,
      flow: describeFlow(packet),
      seq: packet.sequence,
      copy: packet.isOpen ? packet.copyNumber : undefined,
      token: packet.token,
      ...knowledgeOf(state, options.nowMs()),
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
    for (const {
      backendId,
      failure,
      holdMs,
      evidence,
    } of state.placement.ejections.takeEjections()) {
      const { stalled, busy } = evidence;
      const answered = Math.round(evidence.answered);
      const short = Math.round(evidence.short);
      const fields = { backend: backendId, failure, holdMs, stalled, busy, answered, short };
      options.logDecision('backend passed over', fields);
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

/** What a decision on a packet goes by besides the packet: old knowledge explains many a wrong one. */
function knowledgeOf(state: IngressState, nowMs: number): DecisionFields {
  return {
    config: state.routes.config?.version,
    evacuated: state.zones.describeEvacuated(nowMs),
    feedAgeMs: feedAgeMs(state, nowMs),
  };
}

/** Refused opens cost a client its try; of established flows only those with a back end that is gone are of use. */
function isWorthALine(reason: DropReason, { isOpen }: PacketView): boolean {
  return (
    isOpen ||
    reason === 'unknown-token' ||
    reason === 'backend-dead' ||
    reason === 'backend-restarted'
  );
}

/** @returns the two ends of a flow */
function describeFlow(packet: PacketView): string {
  const source = `${unpackHost(packet.sourceHost)}:${packet.sourcePort}`;
  return `${source}>${unpackHost(packet.destinationHost)}:${packet.destinationPort}`;
}
