/**
 * @file An estimate of the requests in progress at each back end, from the packets of clients alone: a request is in
 * progress from its first data until the client acknowledges bytes of the answer. It serves placement and the proof that
 * a back end is dead; no packet of an established flow needs it, and it may be lost at any time.
 *
 * It owns the memory of flows and alone changes the local activity of back ends. A stalled flow is one whose client
 * repeats what left this machine at once, without any sign of the back end.
 */
import type { UnacknowledgedData } from '../decisions/dead-flow.js';
import { createAnswerSizes } from '../decisions/answer-sizes.js';
import type { KnownBackend } from './known-backend.js';
import { routeKey, type FlowKey, type PacketView } from './packet-view.js';

/** What is remembered of one flow. */
interface FlowActivity {
  readonly backend: KnownBackend;
  /** Position of the end of the data that the client has sent; 0 before any. */
  sentEnd: number;
  /** What the client had acknowledged when it sent its last data; 0 before the open was accepted. */
  acknowledgedAtRequest: number;
  isBusy: boolean;
  /** True where the last data or the open left at once: what its client waits for then is the back end. */
  wentOutAtOnce: boolean;
  isStalled: boolean;
  /** When the last of the client's data came, for the first time or again, in milliseconds. */
  endSentAtMs: number;
  /** When the last of the client's data came for the first time, in milliseconds. */
  dataSinceMs: number;
  /** How often the client has sent its last data again. */
  repeats: number;
  lastPacketAtMs: number;
}

/**
 * An open that brings no request, or a request without any answer, counts as in progress for so long. Not measured; too
 * long if a back end that hung stays ejected by load, too short if one that hangs is not.
 */
const BUSY_LIFETIME_MS = 2_500;

/** Clients send data again after some 200 ms; the same data sooner was duplicated on its way. */
const REPEATED_AFTER_MS = 150;

/** The flows that passed this balancer lately. */
export class FlowActivities {
  private readonly flows = new Map<FlowKey, FlowActivity>();
  private readonly sizes = createAnswerSizes();

  /**
   * @param idleTimeoutMs a flow that has rested for this long is forgotten
   * @param maxFlows flows beyond this number are not counted
   * @param isLinkFree says whether packets leave at once
   */
  constructor(
    private readonly idleTimeoutMs: () => number,
    private readonly maxFlows: number,
    private readonly isLinkFree: () => boolean = () => true,
  ) {}

  /** How many flows are remembered. */
  get size(): number {
    return this.flows.size;
  }

  /** Records that a new flow was placed; it counts as busy until its request comes and is answered. */
  recordOpen(key: FlowKey, backend: KnownBackend, nowMs: number): void {
    if (this.flows.get(key)?.backend === backend) {
      return;
    }
    this.end(key);
    this.remember(key, backend, nowMs, true);
  }

  /** Records a copy of an open that was placed here; one that is read together with the first, after a pause, is none. */
  recordOpenCopy(key: FlowKey, nowMs: number): void {
    const flow = this.flows.get(key);
    const isWaiting = flow?.sentEnd === 0 && flow.isBusy;
    if (isWaiting && nowMs - flow.endSentAtMs >= REPEATED_AFTER_MS) {
      this.setStalled(flow, flow.wentOutAtOnce);
    }
  }

  /**
   * Records a packet of an established flow.
   * @returns how often the client has sent the data of the packet again, as far as it passed here; undefined where
   *   it carries none, or is not counted
   */
  recordPacket(
    key: FlowKey,
    backend: KnownBackend,
    packet: PacketView,
    nowMs: number,
  ): UnacknowledgedData | undefined {
    const known = this.flows.get(key);
    if (packet.isFinish || packet.isReset) {
      if (known?.backend === backend && packet.isFinish) {
        this.recordProgress(known, packet, nowMs);
      }
      this.end(key);
      return undefined;
    }
    const flow = known?.backend === backend ? known : this.replace(key, backend, nowMs);
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

  /** Forgets flows that have rested for too long, and requests that nobody answers. */
  sweep(nowMs: number): void {
    const idleTimeoutMs = this.idleTimeoutMs();
    for (const [key, flow] of this.flows) {
      const restedMs = nowMs - flow.lastPacketAtMs;
      if (restedMs > idleTimeoutMs) {
        this.end(key);
      } else if (flow.isBusy && restedMs > BUSY_LIFETIME_MS) {
        this.setStalled(flow, false);
        this.setBusy(flow, false);
      }
    }
  }

  /** The client has got something of the back end: its acceptance of the open, or the beginning of an answer. */
  private recordProgress(flow: FlowActivity, packet: PacketView, nowMs: number): void {
    if (!flow.isBusy || packet.acknowledged === flow.acknowledgedAtRequest) {
      return;
    }
    const isAnswer = flow.acknowledgedAtRequest !== 0;
    const answerBytes = (packet.acknowledged - flow.acknowledgedAtRequest) | 0;
    const wasOvertaken = isAnswer && answerBytes < 0;
    if (wasOvertaken) {
      return;
    }
    if (isAnswer) {
      this.recordAnswer(flow, packet, answerBytes, nowMs);
    }
    this.setStalled(flow, false);
    this.setBusy(flow, !isAnswer);
    flow.acknowledgedAtRequest = packet.acknowledged;
    flow.backend.local.recordProgress(nowMs);
  }

  private recordAnswer(flow: FlowActivity, packet: PacketView, bytes: number, nowMs: number): void {
    const { answers } = flow.backend.local;
    if (this.sizes.isShort(routeKey(packet.destinationHost, packet.destinationPort), bytes)) {
      answers.recordShortAnswer(nowMs);
    } else if (flow.wentOutAtOnce && flow.repeats === 0) {
      answers.recordAnswer(nowMs - flow.dataSinceMs, nowMs);
    }
  }

  private recordData(flow: FlowActivity, packet: PacketView, nowMs: number): UnacknowledgedData {
    const end = (packet.sequence + packet.dataLength) >>> 0;
    const isNew = ((end - flow.sentEnd) | 0) > 0 || flow.sentEnd === 0;
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
    const isKnown = flow.sentEnd !== 0 || flow.isBusy;
    if (isKnown && acknowledged !== flow.acknowledgedAtRequest) {
      flow.backend.local.recordProgress(nowMs);
    }
    flow.sentEnd = end;
    flow.endSentAtMs = nowMs;
    flow.dataSinceMs = nowMs;
    flow.repeats = 0;
    flow.acknowledgedAtRequest = acknowledged;
    flow.wentOutAtOnce = this.isLinkFree();
    this.setStalled(flow, false);
    this.setBusy(flow, true);
    return { retransmissions: 0, sinceMs: nowMs };
  }

  /** Of several packets under way the last one counts: data before it may be sent again alone. */
  private recordOldData(flow: FlowActivity, end: number, nowMs: number): UnacknowledgedData {
    const isRepeat = end === flow.sentEnd && nowMs - flow.endSentAtMs >= REPEATED_AFTER_MS;
    if (isRepeat) {
      flow.repeats += 1;
      flow.endSentAtMs = nowMs;
      this.setStalled(flow, flow.isBusy && flow.wentOutAtOnce);
    }
    return { retransmissions: isRepeat ? flow.repeats : 0, sinceMs: flow.dataSinceMs };
  }

  private replace(key: FlowKey, backend: KnownBackend, nowMs: number): FlowActivity | undefined {
    this.end(key);
    return this.remember(key, backend, nowMs, false);
  }

  private remember(
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
      sentEnd: 0,
      acknowledgedAtRequest: 0,
      isBusy: false,
      wentOutAtOnce: this.isLinkFree(),
      isStalled: false,
      endSentAtMs: nowMs,
      dataSinceMs: nowMs,
      repeats: 0,
      lastPacketAtMs: nowMs,
    };
    this.flows.set(key, flow);
    this.setBusy(flow, isBusy);
    return flow;
  }

  private end(key: FlowKey): void {
    const flow = this.flows.get(key);
    if (flow !== undefined) {
      this.setStalled(flow, false);
      this.setBusy(flow, false);
      this.flows.delete(key);
    }
  }

  private setBusy(flow: FlowActivity, isBusy: boolean): void {
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
  }
}
