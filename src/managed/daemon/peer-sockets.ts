/**
 * @file A balancer's sockets for other balancers: UDP for gossip and TCP for links that distribute the
 * configuration.
 */
import type { Address } from '../../shared/common/address.js';
import { createLinkTable } from '../../shared/common/link-table.js';
import { loggerFor } from '../../shared/common/logger.js';
import type { BalancerEvent } from '../balancer/balancer-events.js';
import type { ControlToBalancerMessage } from '../dissemination/link-messages.js';
import type { LinkId } from '../dissemination/publisher.js';
import type { TrafficDirection } from '../dissemination/traffic.js';
import { decodeGossip, encodeGossip, gossipKey, type GossipKey } from '../gossip/gossip-codec.js';
import type { PeerDatagram } from '../gossip/gossip-messages.js';
import type { MemberAddresses } from '../gossip/member.js';
import type { Settings } from '../settings/settings-schema.js';
import { parseBalancerLinkMessage } from './link-schemas.js';
import { listenForLinks, type LinkServer, type MessageLink } from './message-link.js';
import { bindUdp, type UdpSocket } from '../../shared/daemon/udp-socket.js';

/** Callbacks for received messages and traffic counts. */
interface PeerSocketsHandlers {
  step(event: BalancerEvent): void;
  countTraffic(direction: TrafficDirection, kind: string, bytes: number): void;
}

/** The gossip socket and the link server of a balancer. */
export class PeerSockets {
  private readonly links = createLinkTable<MessageLink>();
  private readonly key: GossipKey;
  private udp: UdpSocket | undefined;
  private server: LinkServer | undefined;
  private hasLoggedRejection = false;

  private constructor(
    clusterKey: string,
    private readonly handlers: () => PeerSocketsHandlers | undefined,
  ) {
    this.key = gossipKey(clusterKey);
  }

  /**
   * @param handlers returns undefined until the handlers exist; messages received before that are dropped
   * @returns the bound sockets; rejects if an address can't be bound
   */
  static async bind(
    { balancer, clusterKey }: Settings,
    handlers: () => PeerSocketsHandlers | undefined,
  ): Promise<PeerSockets> {
    const sockets = new PeerSockets(clusterKey, handlers);
    sockets.udp = await bindUdp(balancer.gossipAddress, (datagram, from) =>
      sockets.receiveDatagram(datagram, from),
    );
    sockets.server = await listenForLinks(balancer.linkAddress, {
      onMessage: (value, link) => {
        const message = parseBalancerLinkMessage(value);
        if (message !== undefined) {
          handlers()?.step({ type: 'peer-message', linkId: sockets.links.idOf(link), message });
        }
        return message !== undefined;
      },
      onClose: (link) => sockets.removeLink(link),
      onTraffic: (direction, kind, bytes) => handlers()?.countTraffic(direction, kind, bytes),
    });
    return sockets;
  }

  get addresses(): MemberAddresses {
    const { udp, server } = this;
    const host = udp?.address.host ?? '';
    return { host, gossipPort: udp?.address.port ?? 0, linkPort: server?.address.port ?? 0 };
  }

  sendGossip(to: Address, message: PeerDatagram): void {
    const datagram = encodeGossip(message, this.key);
    this.handlers()?.countTraffic('sent', message.type, datagram.length);
    this.udp?.send(datagram, to);
  }

  sendTo(linkId: LinkId, message: ControlToBalancerMessage): void {
    this.links.find(linkId)?.send(message);
  }

  async close(): Promise<void> {
    await Promise.all([this.udp?.close(), this.server?.close()]);
  }

  private receiveDatagram(datagram: Uint8Array, from: Address): void {
    const message = decodeGossip(datagram, this.key);
    if (message.isErr()) {
      this.logRejectionOnce(message.error.message, from);
      return;
    }
    this.handlers()?.countTraffic('received', message.value.type, datagram.length);
    this.handlers()?.step({ type: 'gossip', message: message.value, from });
  }

  /** Logs only the first rejection, since a process with another cluster key keeps sending. */
  private logRejectionOnce(reason: string, { host, port }: Address): void {
    if (!this.hasLoggedRejection) {
      this.hasLoggedRejection = true;
      loggerFor('balancer').warn(
        `Dropped a gossip datagram from ${host}:${port}: ${reason} Further drops are not logged.`,
      );
    }
  }

  private removeLink(link: MessageLink): void {
    const linkId = this.links.remove(link);
    if (linkId !== undefined) {
      this.handlers()?.step({ type: 'peer-closed', linkId });
    }
  }
}
