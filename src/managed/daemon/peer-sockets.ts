/**
 * @file The sockets by which a balancer is reached by other balancers: UDP for gossip, TCP for links
 * over which they get the configuration.
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

/** Handles what comes in. */
interface PeerSocketsOwner {
  step(event: BalancerEvent): void;
  countTraffic(direction: TrafficDirection, kind: string, bytes: number): void;
}

/** The sockets towards other balancers. */
export class PeerSockets {
  private readonly links = createLinkTable<MessageLink>();
  private readonly key: GossipKey;
  private udp: UdpSocket | undefined;
  private server: LinkServer | undefined;
  private hasWarned = false;

  private constructor(
    clusterKey: string,
    private readonly owner: () => PeerSocketsOwner | undefined,
  ) {
    this.key = gossipKey(clusterKey);
  }

  /**
   * @param owner undefined until there is one; what comes before is dropped
   * @returns the bound sockets; rejects where an address can't be bound
   */
  static async bind(
    { balancer, clusterKey }: Settings,
    owner: () => PeerSocketsOwner | undefined,
  ): Promise<PeerSockets> {
    const sockets = new PeerSockets(clusterKey, owner);
    sockets.udp = await bindUdp(balancer.gossipAddress, (datagram, from) =>
      sockets.receive(datagram, from),
    );
    sockets.server = await listenForLinks(balancer.linkAddress, {
      onMessage: (value, link) => {
        const message = parseBalancerLinkMessage(value);
        if (message !== undefined) {
          owner()?.step({ type: 'peer-message', linkId: sockets.links.idOf(link), message });
        }
        return message !== undefined;
      },
      onClose: (link) => sockets.forget(link),
      onTraffic: (direction, kind, bytes) => owner()?.countTraffic(direction, kind, bytes),
    });
    return sockets;
  }

  get addresses(): MemberAddresses {
    const { udp, server } = this;
    const host = udp?.address.host ?? '';
    return { host, gossipPort: udp?.address.port ?? 0, linkPort: server?.address.port ?? 0 };
  }

  gossip(to: Address, message: PeerDatagram): void {
    const datagram = encodeGossip(message, this.key);
    this.owner()?.countTraffic('sent', message.type, datagram.length);
    this.udp?.send(datagram, to);
  }

  sendTo(linkId: LinkId, message: ControlToBalancerMessage): void {
    this.links.find(linkId)?.send(message);
  }

  async close(): Promise<void> {
    await Promise.all([this.udp?.close(), this.server?.close()]);
  }

  private receive(datagram: Uint8Array, from: Address): void {
    const message = decodeGossip(datagram, this.key);
    if (message.isErr()) {
      this.warnOnce(message.error.message, from);
      return;
    }
    this.owner()?.countTraffic('received', message.value.type, datagram.length);
    this.owner()?.step({ type: 'gossip', message: message.value, from });
  }

  /** Logged once: a process with another cluster key goes on sending. */
  private warnOnce(reason: string, { host, port }: Address): void {
    if (!this.hasWarned) {
      this.hasWarned = true;
      loggerFor('balancer').warn(`A datagram from ${host}:${port} is refused: ${reason}`);
    }
  }

  private forget(link: MessageLink): void {
    const linkId = this.links.remove(link);
    if (linkId !== undefined) {
      this.owner()?.step({ type: 'peer-closed', linkId });
    }
  }
}
