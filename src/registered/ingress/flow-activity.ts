/**
 * @file Estimates the requests in progress at each back end from client packets alone: a request is in progress from its
 * first data until the client acknowledges part of the answer. Placement and dead back end detection use the estimate;
 * forwarding does not need it, so it may be lost at any time.
 *
 * A flow is stalled if its client retransmits data that this machine forwarded immediately, and there is no sign of
 * progress from the back end.
 */
import type { UnacknowledgedData } from '../decisions/dead-flow.js';
import { MIN_LATE_MS } from '../decisions/shared-evidence.js';
import { createAnswerSizes } from '../decisions/answer-sizes.js';
import type { KnownBackend } from './known-backend.js';
import { routeKey, type FlowKey, type PacketView } from './packet-view.js';

/** Tracked state of one flow. */
interface FlowActivity {
  readonly backend: KnownBackend;
  /** Sequence number after the last data byte of the client; 0 before any data. */
  nextSequence: number;
  /** Acknowledgement number in the last new data of the client; 0 before the open was accepted. */
  acknowledgedAtRequest: number;
  isBusy: boolean;
  /** True if the last data or the open was not queued for the link, so that any delay is due to the back end. */
  wasSentImmediately: boolean;
  isStalled: boolean;
  /** Arrival of the client's last data, including retransmissions, in milliseconds. */
  lastTransmissionAtMs: number;
  /** First arrival of the client's last data, in milliseconds. */
  firstTransmissionAtMs: number;
  /** Retransmissions of the client's last data. */
  retransmissions: number;
  lastPacketAtMs: number;
}

/** An open without a request, or a request without an answer, counts as in progress for this long. */
const MAX_BUSY_MS = 2_500;

/** Shorter than the first retransmission timeout of clients (about 200 ms); an earlier copy was duplicated in transit. */
const MIN_RETRANSMISSION_DELAY_MS = 150;

/** Tracks the recent flows of this balancer and updates the local activity of their back ends. */
export class FlowActivities {
  private readonly flows = new Map<FlowKey, FlowActivity>();
  private readonly answerSizes = createAnswerSizes();
  /** Flows with a request in progress, in the order in which their requests arrived. */
  private readonly requests = new Set<FlowActivity>();

  /**
   * @param idleTimeoutMs returns the time after which an idle flow is no longer tracked
   * @param maxFlows further flows are not tracked
   * @param isLinkFree returns true if packets are sent without queueing
   */
  constructor(
    private readonly idleTimeoutMs: () => number,
    private readonly maxFlows: number,
    private readonly isLinkFree: () => boolean = () => true,
  ) {}

  /** Number of tracked flows. */
  get size(): number {
    return this.flows.size;
  }

  /** Records the placement of a new flow, which counts as busy until its request is answered. */
  recordOpen(key: FlowKey, backend: KnownBackend, nowMs: number): void {
    if (this.flows.get(key)?.backend === backend) {
      return;
    }
    this.remove(key);
    this.track(key, backend, nowMs, true);
  }

  /** Records a copy of an open that was placed here. One that directly follows the first is no retransmission. */
  recordOpenCopy(key: FlowKey, nowMs: number): void {
    const flow = this.flows.get(key);
    const isWaiting = flow?.nextSequence === 0 && flow.isBusy;
    if (isWaiting && nowMs - flow.lastTransmissionAtMs >= MIN_RETRANSMISSION_DELAY_MS) {
      this.recordWait(flow, nowMs);
    }
  }

  /**
   * Records requests that wait far longer than usual.
   * @param lateAfterMs returns the time after which a request to a back end is late, in milliseconds
   */
  recordLateRequests(lateAfterMs: (backend: KnownBackend) => number, nowMs: number): void {
    for (const flow of this.requests) {
      const { backend, firstTransmissionAtMs, wasSentImmediately } = flow;
      const waitedMs = nowMs - firstTransmissionAtMs;
      if (waitedMs < MIN_LATE_MS) {
        return;
      }
      if (wasSentImmediately && waitedMs > lateAfterMs(backend)) {
        backend.local.waits.unanswered.record(flow, firstTransmissionAtMs, nowMs);
      }
    }
  }

  /**
   * Records a packet of an established flow.
   * @returns the retransmissions of the data in the packet that this balancer has seen; undefined if the packet carries
   *   no data or its flow is not tracked
   */
  recordPacket(
    key: FlowKey,
    backend: KnownBackend,
    packet: PacketView,
    nowMs: number,
  ): UnacknowledgedData | undefined {
    const tracked = this.flows.get(key);
    if (packet.isFinish || packet.isReset) {
      if (tracked?.backend === backend && packet.isFinish) {
        this.recordProgress(tracked, packet, nowMs);
      }
      this.remove(key);
      return undefined;
    }
    const flow = tracked?.backend === backend ? tracked : this.replace(key, backend, nowMs);
    if (flow === undefined) {
      return undefined;
    }
    flow.lastPacketAtMs = nowMs;
    if (packet.dataLength > 0) {
      return this.recordData(flow, packet, nowMs);
    }
    this.recordProgress(flow, packet, nowMs);
    return undefined;
  }

  /** Removes idle flows, and stops counting requests that were not answered in time. */
  sweep(nowMs: number): void {
    const idleTimeoutMs = this.idleTimeoutMs();
    for (const [key, flow] of this.flows) {
      const idleMs = nowMs - flow.lastPacketAtMs;
      if (idleMs > idleTimeoutMs) {
        this.remove(key);
      } else if (flow.isBusy && idleMs > MAX_BUSY_MS) {
        this.setStalled(flow, false);
        this.setBusy(flow, false);
      }
    }
  }

  /** Handles an acknowledgement of the accepted open, or of the beginning of an answer. */
  private recordProgress(flow: FlowActivity, packet: PacketView, nowMs: number): void {
    if (!flow.isBusy || packet.acknowledged === flow.acknowledgedAtRequest) {
      return;
    }
    const isAnswer = flow.acknowledgedAtRequest !== 0;
    const answerBytes = (packet.acknowledged - flow.acknowledgedAtRequest) | 0;
    const isReordered = isAnswer && answerBytes < 0;
    if (isReordered) {
      return;
    }
    if (isAnswer) {
      this.recordAnswer(flow, packet, answerBytes, nowMs);
      flow.backend.local.recordAnswered(nowMs);
    }
    this.setStalled(flow, false);
    this.setBusy(flow, !isAnswer);
    flow.acknowledgedAtRequest = packet.acknowledged;
    flow.backend.local.recordProgress(nowMs);
  }

  private recordAnswer(flow: FlowActivity, packet: PacketView, bytes: number, nowMs: number): void {
    const { answers } = flow.backend.local;
    if (this.answerSizes.isShort(routeKey(packet.destinationHost, packet.destinationPort), bytes)) {
      answers.recordShortAnswer(nowMs);
    } else if (flow.wasSentImmediately && flow.retransmissions === 0) {
      answers.recordAnswer(nowMs - flow.firstTransmissionAtMs, nowMs);
    }
  }

  private recordData(flow: FlowActivity, packet: PacketView, nowMs: number): UnacknowledgedData {
    const end = (packet.sequence + packet.dataLength) >>> 0;
    const isNew = ((end - flow.nextSequence) | 0) > 0 || flow.nextSequence === 0;
    return isNew
      ? this.recordNewData(flow, packet, end, nowMs)
      : this.recordOldData(flow, end, nowMs);
  }

  private recordNewData(
    flow: FlowActivity,
    { acknowledged }: PacketView,
    end: number,
    nowMs: number,
  ): UnacknowledgedData {
    const hasBaseline = flow.nextSequence !== 0 || flow.isBusy;
    if (hasBaseline && acknowledged !== flow.acknowledgedAtRequest) {
      flow.backend.local.recordProgress(nowMs);
      flow.backend.local.recordAnswered(nowMs);
    }
    flow.nextSequence = end;
    flow.lastTransmissionAtMs = nowMs;
    flow.firstTransmissionAtMs = nowMs;
    flow.retransmissions = 0;
    flow.acknowledgedAtRequest = acknowledged;
    flow.wasSentImmediately = this.isLinkFree();
    this.setStalled(flow, false);
    this.setBusy(flow, true);
    this.trackRequest(flow);
    return { retransmissions: 0, sinceMs: nowMs };
  }

  /** Counts retransmissions of the last packet in flight only; earlier ones may be retransmitted separately. */
  private recordOldData(flow: FlowActivity, end: number, nowMs: number): UnacknowledgedData {
    const isRetransmission =
      end === flow.nextSequence && nowMs - flow.lastTransmissionAtMs >= MIN_RETRANSMISSION_DELAY_MS;
    if (isRetransmission) {
      flow.retransmissions += 1;
      flow.lastTransmissionAtMs = nowMs;
      this.recordWait(flow, nowMs);
    }
    return {
      retransmissions: isRetransmission ? flow.retransmissions : 0,
      sinceMs: flow.firstTransmissionAtMs,
    };
  }

  private replace(key: FlowKey, backend: KnownBackend, nowMs: number): FlowActivity | undefined {
    this.remove(key);
    return this.track(key, backend, nowMs, false);
  }

  private track(
    key: FlowKey,
    backend: KnownBackend,
    nowMs: number,
    isBusy: boolean,
  ): FlowActivity | undefined {
    if (this.flows.size >= this.maxFlows) {
      return undefined;
    }
    const flow: FlowActivity = {
      backend,
      nextSequence: 0,
      acknowledgedAtRequest: 0,
      isBusy: false,
      wasSentImmediately: this.isLinkFree(),
      isStalled: false,
      lastTransmissionAtMs: nowMs,
      firstTransmissionAtMs: nowMs,
      retransmissions: 0,
      lastPacketAtMs: nowMs,
    };
    this.flows.set(key, flow);
    this.setBusy(flow, isBusy);
    return flow;
  }

  private remove(key: FlowKey): void {
    const flow = this.flows.get(key);
    if (flow !== undefined) {
      this.setStalled(flow, false);
      this.setBusy(flow, false);
      this.flows.delete(key);
    }
  }

  /** A repeat whose first copy was not delayed here marks the flow as stalled. */
  private recordWait(flow: FlowActivity, nowMs: number): void {
    const isDelayedByBackend = flow.isBusy && flow.wasSentImmediately;
    this.setStalled(flow, isDelayedByBackend);
    if (isDelayedByBackend) {
      flow.backend.local.waits.unacknowledged.record(flow, flow.firstTransmissionAtMs, nowMs);
    }
  }

  /** Moves the flow to the end of the order of requests. */
  private trackRequest(flow: FlowActivity): void {
    this.endRequest(flow);
    this.requests.add(flow);
  }

  private endRequest(flow: FlowActivity): void {
    if (this.requests.delete(flow)) {
      flow.backend.local.waits.unanswered.remove(flow);
    }
  }

  private setBusy(flow: FlowActivity, isBusy: boolean): void {
    if (!isBusy) {
      this.endRequest(flow);
    }
    if (flow.isBusy !== isBusy) {
      flow.isBusy = isBusy;
      flow.backend.local.changeBusy(isBusy ? 1 : -1);
    }
  }

  private setStalled(flow: FlowActivity, isStalled: boolean): void {
    if (flow.isStalled !== isStalled) {
      flow.isStalled = isStalled;
      flow.backend.local.answers.changeStalled(isStalled ? 1 : -1);
    }
    if (!isStalled) {
      flow.backend.local.waits.unacknowledged.remove(flow);
    }
  }
}
