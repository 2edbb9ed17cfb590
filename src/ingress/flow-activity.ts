/**
 * @file An estimate of the requests in progress at each back end, from the packets of clients alone: a
 * request is in progress from its first data until the client acknowledges bytes of the answer. It
 * serves placement only; no packet of an established flow needs it, and it may be lost at any time.
 */
import type { KnownBackend } from './backend-table.js';
import type { UnansweredData } from './dead-flow.js';
import type { FlowKey, PacketView } from './packet-view.js';

/** What is remembered of one flow. */
interface FlowActivity {
  readonly backend: KnownBackend;
  /** End of the data that the client has sent. */
  sentEnd: number;
  /** What the client had acknowledged when it sent its last data. */
  acknowledgedAtRequest: number;
  isBusy: boolean;
  /** When the last of the client's data came, for the first time or again, in milliseconds. */
  endSentAtMs: number;
  /** When the last of the client's data came for the first time, in milliseconds. */
  dataSinceMs: number;
  /** How often the client has sent its last data again. */
  repeats: number;
  lastPacketAtMs: number;
}

/** An open that brings no request, or a request without any answer, counts for so long. */
const BUSY_LIFETIME_MS = 2_500;

/** Clients send data again after some 200 ms; the same data sooner was doubled on its way. */
const REPEATED_AFTER_MS = 150;

/** The flows that passed this balancer lately. */
export class FlowActivities {
  private readonly flows = new Map<FlowKey, FlowActivity>();

  /**
   * @param idleTimeoutMs a flow that has rested for this long is forgotten
   * @param maxFlows flows beyond this number are not counted
   */
  constructor(
    private readonly idleTimeoutMs: () => number,
    private readonly maxFlows: number,
  ) {}

  /** How many flows are remembered. */
  get size(): number {
    return this.flows.size;
  }

  /** Notes that a new flow was placed; it counts as busy until its request comes and is answered. */
  open(key: FlowKey, backend: KnownBackend, nowMs: number): void {
    if (this.flows.get(key)?.backend === backend) {
      return;
    }
    this.end(key);
    this.remember(key, backend, nowMs, true);
  }

  /**
   * Notes a packet of an established flow.
   * @returns how often the client has sent the data of the packet again, as far as it passed here; undefined where
   *   it carries none, or is not counted
   */
  note(
    key: FlowKey,
    backend: KnownBackend,
    packet: PacketView,
    nowMs: number,
  ): UnansweredData | undefined {
    if (packet.isFinish || packet.isReset) {
      this.end(key);
      return undefined;
    }
    const known = this.flows.get(key);
    const flow = known?.backend === backend ? known : this.replace(key, backend, nowMs);
    if (flow === undefined) {
      return undefined;
    }
    flow.lastPacketAtMs = nowMs;
    if (packet.dataLength > 0) {
      return this.noteData(flow, packet, nowMs);
    }
    if (flow.isBusy && packet.acknowledged !== flow.acknowledgedAtRequest) {
      this.setBusy(flow, flow.acknowledgedAtRequest === 0);
      flow.acknowledgedAtRequest = packet.acknowledged;
      backend.progressAtMs = nowMs;
    }
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
        this.setBusy(flow, false);
      }
    }
  }

  private noteData(flow: FlowActivity, packet: PacketView, nowMs: number): UnansweredData {
    const end = (packet.sequence + packet.dataLength) >>> 0;
    const isNew = ((end - flow.sentEnd) | 0) > 0 || flow.sentEnd === 0;
    if (!isNew) {
      // Of several packets under way the last one counts: data before it may be sent again alone.
      const isRepeat = end === flow.sentEnd && nowMs - flow.endSentAtMs >= REPEATED_AFTER_MS;
      if (isRepeat) {
        flow.repeats += 1;
        flow.endSentAtMs = nowMs;
      }
      return { repeats: isRepeat ? flow.repeats : 0, sinceMs: flow.dataSinceMs };
    }
    const isKnown = flow.sentEnd !== 0 || flow.isBusy;
    if (isKnown && packet.acknowledged !== flow.acknowledgedAtRequest) {
      flow.backend.progressAtMs = nowMs;
    }
    flow.sentEnd = end;
    flow.endSentAtMs = nowMs;
    flow.dataSinceMs = nowMs;
    flow.repeats = 0;
    flow.acknowledgedAtRequest = packet.acknowledged;
    this.setBusy(flow, true);
    return { repeats: 0, sinceMs: nowMs };
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
      this.setBusy(flow, false);
      this.flows.delete(key);
    }
  }

  private setBusy(flow: FlowActivity, isBusy: boolean): void {
    if (flow.isBusy !== isBusy) {
      flow.isBusy = isBusy;
      flow.backend.own.busy += isBusy ? 1 : -1;
    }
  }
}
