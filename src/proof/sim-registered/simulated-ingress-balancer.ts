/**
 * @file A simulated ingress balancer: runs the product's ingress process on the virtual network.
 */
import { Packr } from 'msgpackr';
import type { Address } from '../../shared/common/address.js';
import {
  createIngressProcess,
  type IngressProcess,
} from '../../registered/daemon/ingress-process.js';
import type { PeerLinkHandlers } from '../../registered/ingress/peer-feed/peer-feed-messages.js';
import { parseBalancerMessage } from '../../registered/group/message-schemas.js';
import { tokenPacketCodec } from '../../registered/ingress/token-packet.js';
import type { VirtualLinkHandlers } from '../virtual/virtual-wires.js';
import { createProcessGate, type ProcessGate } from './process-gate.js';
import type { IngressWorldParts } from './world-parts.js';

const TICK_MS = 100;
const PACKET_PORT = 8_000;
const PEER_PORT = 7_700;
const MAX_COUNTED_FLOWS = 100_000;
const packr = new Packr({ useRecords: false });

/** A balancer whose process can be started, killed and suspended. */
export class SimulatedIngressBalancer {
  process: IngressProcess | undefined;
  private readonly gate: ProcessGate;

  constructor(
    readonly host: string,
    private readonly zone: string,
    private readonly controls: readonly Address[],
    private readonly parts: IngressWorldParts,
  ) {
    this.gate = createProcessGate(parts.clock);
  }

  get isReady(): boolean {
    return !this.gate.isFrozen && this.process?.isReady === true;
  }

  /** Address to which routers send packets. */
  get packetAddress(): Address {
    return { host: this.host, port: PACKET_PORT };
  }

  start(): void {
    const generation = this.gate.advanceGeneration();
    const { host } = this;
    const { clock, wires, options } = this.parts;
    const peerAddress: Address = { host, port: PEER_PORT };
    wires.hostStarted(host);
    const process = createIngressProcess(
      {
        ingress: {
          name: host,
          zone: this.zone,
          heartbeatIntervalMs: options.heartbeatIntervalMs,
          flowLifetimeMs: options.flowLifetimeMs,
          feed: this.parts.timing.feed,
          maxCountedFlows: MAX_COUNTED_FLOWS,
          switches: options.policy,
          slowStartBounds: options.coldBounds,
        },
        peerAddress,
        controlSeeds: this.controls,
        linkBytesPerMs: options.linkBytesPerMs,
      },
      tokenPacketCodec,
      {
        nowMs: () => clock.nowMs,
        sendPacket: (datagram, to) => wires.sendDatagram(host, to, datagram),
        sendToBalancer: (to, message) => {
          const datagram = packr.pack(message);
          wires.sendDatagram(host, to, datagram);
          return datagram.length;
        },
        connectControl: (to, handlers) =>
          wires.connect(host, to, this.gated(generation, closingOnUnexpected(handlers))),
        connectBalancer: (to, handlers) =>
          wires.connect(host, to, this.gated(generation, closingOnUnexpected(handlers))),
        after: (delayMs, run) => clock.after(delayMs, () => this.gate.whenRunning(generation, run)),
        logDecision: (name, fields) => this.parts.logDecision(host, name, fields),
        packetLog: { log: () => undefined, flush: () => undefined },
      },
    );
    this.process = process;
    wires.onDatagram(this.packetAddress, (bytes) =>
      this.gate.whenRunning(generation, () => process.handlePacket(bytes)),
    );
    if (process.peerFeeds !== undefined) {
      wires.listen(
        peerAddress,
        this.gated(generation, closingOnUnexpected(process.peerFeeds.handlers)),
      );
    }
    wires.onDatagram(peerAddress, (bytes) => {
      const message = parseBalancerMessage(packr.unpack(bytes));
      if (message !== undefined) {
        this.gate.whenRunning(generation, () => process.handleBalancerMessage(message));
      }
    });
    this.tick(process, generation);
  }

  kill(): void {
    this.gate.advanceGeneration();
    this.process = undefined;
    this.parts.wires.hostDied(this.host);
  }

  /** Suspends the process; events are queued until it resumes. */
  freeze(durationMs: number): void {
    if (this.process !== undefined) {
      this.gate.freeze(durationMs);
    }
  }

  /** Delivers the events of links while the process runs. */
  private gated(generation: number, handlers: VirtualLinkHandlers): VirtualLinkHandlers {
    return {
      onMessage: (message, link) => {
        this.gate.whenRunning(generation, () => handlers.onMessage(message, link));
        return true;
      },
      onClose: (link, reason) =>
        this.gate.whenRunning(generation, () => handlers.onClose(link, reason)),
    };
  }

  private tick(process: IngressProcess, generation: number): void {
    this.gate.whenRunning(generation, () => {
      process.tick();
      this.parts.clock.after(TICK_MS, () => this.tick(process, generation));
    });
  }
}

/** Closes a link on an unexpected message, as the links of the product do. */
function closingOnUnexpected(handlers: PeerLinkHandlers): PeerLinkHandlers {
  return {
    ...handlers,
    onMessage: (message, link) => {
      const isExpected = handlers.onMessage(message, link);
      if (!isExpected) {
        link.close();
      }
      return isExpected;
    },
  };
}
