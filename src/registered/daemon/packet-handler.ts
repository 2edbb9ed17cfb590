/**
 * @file Executes the decision of `ingress/packet-step.ts` on each packet of a client: forwards it, resets its flow,
 * drops it, holds an open while other balancers are asked (`open-sharing.ts`), or keeps it until the first feed
 * (`early-packet-buffer.ts`). Every outcome is counted.
 */
import type { Address } from '../../shared/common/address.js';
import type { PacketLabel } from '../egress/packet-scheduler.js';
import type { BalancerMessage, OpenMessage } from '../group/message-schemas.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { IngressState } from '../ingress/ingress-state.js';
import { adoptPeerPlacement, placeOpen } from '../ingress/open-step.js';
import type { DropReason, FoundBy, PacketDecision } from '../ingress/packet-decision.js';
import { decidePacket } from '../ingress/packet-step.js';
import type { PacketCodec } from '../ingress/packet-codec.js';
import { urgencyOf } from '../ingress/packet-urgency.js';
import { flowKeyOf, type FlowKey, type PacketView } from '../ingress/packet-view.js';
import type { DecisionFields } from './decision-log.js';
import { createEarlyPacketBuffer } from './early-packet-buffer.js';
import { countEvent, type EventCounts } from './event-counts.js';
import type { IngressLog, Refusal } from './ingress-log.js';
import { createOpenSharing } from './open-sharing.js';
import type { PacedSender } from './paced-sender.js';

/** Options and dependencies of a packet handler. */
export interface PacketHandlerOptions {
  readonly state: IngressState;
  readonly codec: PacketCodec;
  readonly sender: PacedSender;
  /** Number of packets by outcome; updated by the handler. */
  readonly counts: EventCounts;
  readonly log: IngressLog;
  /** UDP address of this balancer for other balancers. */
  readonly peerAddress: Address;
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  sendToBalancer(to: Address, message: BalancerMessage): void;
  /** Logs a decision that changed the state of this balancer. */
  logDecision(name: string, fields: DecisionFields): void;
}

/** Handles the packets of one balancer. */
export interface PacketHandler {
  /** Arrival time of the last packet of a client, in milliseconds; 0 before the first. */
  readonly lastPacketAtMs: number;
  /** Handles a datagram of a client; a malformed one is counted and dropped. */
  handlePacket(datagram: Uint8Array): void;
  /** Handles a message of another balancer about an open. */
  handleOpenMessage(message: OpenMessage): void;
  /** Handles kept packets that can be decided now; called after each message of the feed. */
  releaseEarlyPackets(): void;
  /** Drops kept packets that have expired; called with each tick. */
  expireEarlyPackets(nowMs: number): void;
}

type ForwardDecision = Extract<PacketDecision, { readonly type: 'forward' }>;

/** @returns the packet handler of one balancer */
export function createPacketHandler(options: PacketHandlerOptions): PacketHandler {
  const { state, codec, counts, log } = options;
  const opens = createOpenSharing({
    ...options,
    replyTo: options.peerAddress,
    onUnknown: ({ datagram, packet }) =>
      carryOut(placeOpen(state, packet, options.nowMs()), datagram, packet),
    onClaimed: ({ packet }) => refuse('dropped', 'claimed-elsewhere', packet),
    onFound: ({ datagram, packet }, key, token) =>
      carryOut(adoptPeerPlacement(state, key, token, options.nowMs()), datagram, packet),
  });
  const { forward, send } = createForwarder(options, (key, token) =>
    opens.publishPlacement(key, token),
  );
  const earlyPackets = createEarlyPacketBuffer({
    state,
    counts,
    onDecidable: ({ datagram, packet }) =>
      carryOut(decidePacket(state, packet, options.nowMs()), datagram, packet),
    onExpired: ({ packet }, reason) => refuse('dropped', reason, packet),
    logDecision: (name, fields) => options.logDecision(name, fields),
  });
  let lastPacketAtMs = 0;

  return {
    get lastPacketAtMs() {
      return lastPacketAtMs;
    },
    handlePacket,
    handleOpenMessage: (message) => opens.handleMessage(message),
    releaseEarlyPackets: () => earlyPackets.release(options.nowMs()),
    expireEarlyPackets: (nowMs) => earlyPackets.expire(nowMs),
  };

  function handlePacket(datagram: Uint8Array): void {
    const packet = codec.read(datagram);
    if (packet === undefined) {
      countEvent(counts, 'malformed');
      return;
    }
    const nowMs = options.nowMs();
    lastPacketAtMs = nowMs;
    state.stallDetector.recordActivity(nowMs);
    const decision = decidePacket(state, packet, nowMs);
    if (!earlyPackets.keep({ datagram, packet }, decision, nowMs)) {
      carryOut(decision, datagram, packet);
    }
  }

  function carryOut(decision: PacketDecision, datagram: Uint8Array, packet: PacketView): void {
    switch (decision.type) {
      case 'forward':
        forward(decision, datagram, packet);
        return;
      case 'reset':
        send(codec.resetFor(packet), codec.clientAddress(packet), packet);
        refuse('reset', decision.reason, packet);
        return;
      case 'drop':
        refuse('dropped', decision.reason, packet);
        return;
      case 'ask-peers':
        // Copied, since the socket may reuse the buffer.
        opens.askHolders(decision.key, { datagram: Uint8Array.from(datagram), packet });
        return;
    }
  }

  function refuse(refusal: Refusal, reason: DropReason, packet: PacketView): void {
    countEvent(counts, `${refusal}:${reason}`);
    log.refused(refusal, reason, packet);
  }
}

/** Sends packets to back ends and clients, and logs what begins. */
function createForwarder(
  { state, codec, counts, log, sender }: PacketHandlerOptions,
  publishPlacement: (key: FlowKey, token: number) => void,
) {
  return { forward, send };

  function forward(decision: ForwardDecision, datagram: Uint8Array, packet: PacketView): void {
    const { backend, foundBy } = decision;
    const { address, instanceBytes, token } = backend;
    send(codec.toBackend(datagram, instanceBytes, token), address, packet);
    countEvent(counts, 'forwarded');
    if (foundBy !== undefined) {
      recordOpened(packet, backend, foundBy);
    } else if (packet.dataLength > 0) {
      logRequest(datagram, packet, backend);
    }
  }

  function recordOpened(packet: PacketView, backend: KnownBackend, foundBy: FoundBy): void {
    countEvent(counts, `opened:${foundBy.type}`);
    if (foundBy.type === 'chosen' && state.options.switches.opens === 'shared') {
      publishPlacement(foundBy.key, backend.token);
    }
    log.placed(packet, backend, foundBy);
  }

  function logRequest(datagram: Uint8Array, packet: PacketView, backend: KnownBackend): void {
    const requestId = codec.requestIdOf(datagram);
    if (requestId !== undefined) {
      log.request(requestId, packet, backend);
    }
  }

  function send(datagram: Uint8Array, to: Address, packet: PacketView): void {
    sender.send(datagram, to, () => labelOf(packet, state));
  }
}

/** Labels a packet for the scheduler; retransmissions are recognized by the same range of the stream. */
function labelOf(packet: PacketView, state: IngressState): PacketLabel {
  const { sequence, dataLength } = packet;
  const content = dataLength > 0 ? `${sequence}+${dataLength}` : undefined;
  const position = dataLength > 0 ? sequence : undefined;
  const label = { flow: flowKeyOf(packet), content, position };
  const urgencyClass = urgencyOf(state, packet);
  return urgencyClass === undefined
    ? label
    : { ...label, urgencyClass, yieldsToEstablished: packet.isOpen };
}
