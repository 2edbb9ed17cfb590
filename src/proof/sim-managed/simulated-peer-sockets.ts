/**
 * @file Virtual sockets of a balancer for other balancers: datagrams for gossip, and links that
 * distribute the configuration.
 */
import type { BalancerEvent } from '../../managed/balancer/balancer-events.js';
import type { Address } from '../../shared/common/address.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../../managed/dissemination/link-messages.js';
import {
  decodeGossip,
  encodeGossip,
  gossipKey,
  type GossipKey,
} from '../../managed/gossip/gossip-codec.js';
import type { PeerDatagram } from '../../managed/gossip/gossip-messages.js';
import { gossipAddress, linkAddress, type MemberAddresses } from '../../managed/gossip/member.js';
import type { LinkAcceptor, Simulation } from './simulation.js';
import type { VirtualLinkEnd } from '../virtual/virtual-links.js';
import type { DatagramHandler } from '../virtual/virtual-network.js';

/** UDP port for gossip, the same on every balancer. */
export const GOSSIP_PORT = 5002;
const LINK_PORT = 5003;

/** The balancer that owns the sockets and handles their events. */
export interface PeerSocketOwner {
  readonly host: string;
  isListening(): boolean;
  step(event: BalancerEvent): void;
}

/** Gossip socket and link listener of one balancer. */
export class SimulatedPeerSockets {
  readonly addresses: MemberAddresses;
  private readonly key: GossipKey;
  private readonly links = new Map<number, VirtualLinkEnd>();
  private readonly onDatagram: DatagramHandler;
  private nextLinkId = 1;

  constructor(
    private readonly simulation: Simulation,
    clusterKey: string,
    private readonly owner: PeerSocketOwner,
  ) {
    const { host } = owner;
    this.addresses = { host, gossipPort: GOSSIP_PORT, linkPort: LINK_PORT };
    this.key = gossipKey(clusterKey);
    this.onDatagram = (datagram, from) => this.receive(datagram, from);
    simulation.listen(linkAddress(this.addresses), {
      host,
      isListening: () => owner.isListening(),
      accept: () => this.accept(),
    });
  }

  open(): void {
    this.simulation.network.bind(gossipAddress(this.addresses), this.onDatagram);
  }

  close(): void {
    this.simulation.network.release(gossipAddress(this.addresses), this.onDatagram);
    this.links.forEach((link) => link.close());
    this.links.clear();
  }

  sendGossip(to: Address, message: PeerDatagram): void {
    const datagram = encodeGossip(message, this.key);
    this.simulation.network.send(gossipAddress(this.addresses), to, datagram);
  }

  sendOnLink(linkId: number, message: ControlToBalancerMessage): void {
    this.links.get(linkId)?.send(message);
  }

  private receive(datagram: Uint8Array, from: Address): void {
    const message = decodeGossip(datagram, this.key);
    if (message.isOk()) {
      this.owner.step({ type: 'gossip', message: message.value, from });
    }
  }

  private accept(): LinkAcceptor {
    const linkId = this.nextLinkId;
    this.nextLinkId += 1;
    return {
      opened: (end) => this.links.set(linkId, end),
      onMessage: (message) =>
        this.owner.step({
          type: 'peer-message',
          linkId,
          message: message as BalancerToControlMessage,
        }),
      onClose: () => {
        this.links.delete(linkId);
        this.owner.step({ type: 'peer-closed', linkId });
      },
    };
  }
}
