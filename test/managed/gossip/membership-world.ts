/**
 * @file Simulates gossip members of several zones on a virtual network with packet loss and partitions.
 */
import { formatAddress, type Address } from '../../../src/shared/common/address.js';
import { decodeGossip, encodeGossip, gossipKey } from '../../../src/managed/gossip/gossip-codec.js';
import {
  createGossipState,
  zoneMembers,
  type GossipSendEffect,
  type GossipState,
} from '../../../src/managed/gossip/gossip-state.js';
import { gossipStep, type GossipEvent } from '../../../src/managed/gossip/gossip-step.js';
import { goodNetwork, VirtualNetwork } from '../flows/network.js';

const TICK_MS = 100;
const HOP_MS = 1;
const KEY = gossipKey('test-cluster-key');

export interface Node {
  state: GossipState;
  readonly address: Address;
  isRunning: boolean;
  /** Nodes in different partitions can't reach each other. */
  partition: number;
  sentBytes: number;
  largestDatagram: number;
}

/** Runs the members; node 0 is the seed of all others. */
export class MembershipWorld {
  readonly network: VirtualNetwork;
  readonly nodes: Node[] = [];
  private readonly byAddress = new Map<string, Node>();

  constructor(zoneSizes: readonly number[], lossShare = 0) {
    this.network = new VirtualNetwork(7, { ...goodNetwork, lossShare, jitterMs: 2 });
    zoneSizes.forEach((size, zone) => {
      for (let number = 0; number < size; number += 1) {
        this.addNode(`zone-${zone}`);
      }
    });
  }

  node(number: number): Node {
    const node = this.nodes[number];
    if (node === undefined) {
      throw new Error(`Node ${number} does not exist.`);
    }
    return node;
  }

  run(durationMs: number): void {
    this.network.runUntil(this.network.nowMs + durationMs);
  }

  step(node: Node, event: GossipEvent): void {
    if (node.isRunning) {
      const effects = gossipStep(node.state, event, this.network.context);
      effects.forEach((effect) => this.send(node, effect));
    }
  }

  /** Restarts a node with empty state. */
  restart(node: Node, incarnation: number): void {
    node.state = createGossipState({ ...node.state.options, incarnation });
    node.isRunning = true;
  }

  /** @returns the time until the condition holds, in milliseconds; throws after the limit */
  timeUntil(condition: () => boolean, limitMs: number): number {
    const startMs = this.network.nowMs;
    while (!condition()) {
      if (this.network.nowMs - startMs > limitMs) {
        throw new Error(`The condition did not hold within ${limitMs} ms.`);
      }
      this.run(TICK_MS);
    }
    return this.network.nowMs - startMs;
  }

  /** @returns true if the member lists of all running nodes of the zone contain exactly the running nodes */
  hasConverged(zone = 'zone-0'): boolean {
    const running = this.nodes.filter(
      ({ isRunning, state }) => isRunning && state.options.zone === zone,
    );
    const expected = running.map(({ state }) => state.options.id).sort();
    return running.every(({ state }) => {
      const ids = zoneMembers(state)
        .map(({ id }) => id)
        .sort();
      return ids.join() === expected.join();
    });
  }

  /** @returns the status of a member at each running node that knows it */
  statusesOf(id: string): string[] {
    return this.nodes.flatMap(({ state, isRunning }) => {
      const known = isRunning ? state.list.members.get(id) : undefined;
      return known === undefined ? [] : [known.record.status];
    });
  }

  private addNode(zone: string): void {
    const number = this.nodes.length;
    const address = { host: `10.${Math.floor(number / 250)}.${number % 250}.1`, port: 7000 };
    const seeds = this.nodes[0] === undefined ? [] : [this.nodes[0].address];
    const state = createGossipState({
      id: `balancer-${number}`,
      zone,
      incarnation: 1,
      host: address.host,
      gossipPort: address.port,
      linkPort: 7001,
      seeds,
    });
    const node: Node = {
      state,
      address,
      isRunning: true,
      partition: 0,
      sentBytes: 0,
      largestDatagram: 0,
    };
    this.nodes.push(node);
    this.byAddress.set(formatAddress(address), node);
    // Staggers the ticks of the nodes.
    this.network.after(number % TICK_MS, () =>
      this.network.every(TICK_MS, () => this.step(node, { type: 'tick' })),
    );
  }

  private send(sender: Node, { to, message }: GossipSendEffect): void {
    const datagram = encodeGossip(message, KEY);
    sender.sentBytes += datagram.length;
    sender.largestDatagram = Math.max(sender.largestDatagram, datagram.length);
    const receiver = this.byAddress.get(formatAddress(to));
    if (receiver?.partition !== sender.partition) {
      return;
    }
    this.network.transmit(HOP_MS, () => {
      const decoded = decodeGossip(datagram, KEY);
      if (decoded.isErr() || decoded.value.type === 'health') {
        throw new Error('The datagram is not a gossip message.');
      }
      this.step(receiver, { type: 'gossip', message: decoded.value, from: sender.address });
    });
  }
}
