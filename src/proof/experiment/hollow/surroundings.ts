/**
 * @file What all hollow nodes of a world share.
 */
import type { Address } from '../../../shared/common/address.js';
import type { RandomSource, StepContext } from '../../../shared/common/step.js';
import type { EventQueue } from './event-queue.js';
import type { GossipKey } from '../../../managed/gossip/gossip-codec.js';
import type { MemberAddresses } from '../../../managed/gossip/member.js';
import type { HollowBalancer } from './hollow-balancer.js';
import type { HollowControl } from './hollow-control.js';
import type { LinkServerEnd } from './hollow-link.js';
import { hostNumbered } from './first-state.js';
import type { Meter } from './meter.js';
import type { Place, PlaceNetwork } from './places.js';
import type { Wire } from './wire.js';

/** Clock, network and counters of a hollow world. */
export interface HollowSurroundings {
  readonly queue: EventQueue;
  readonly network: PlaceNetwork;
  readonly meter: Meter;
  readonly wire: Wire;
  readonly random: RandomSource;
  /** The control machine at this address, by the text form. */
  readonly controlsByAddress: Map<string, HollowControl>;
  /** The balancer with this gossip address, by the text form. */
  readonly balancersByGossipAddress: Map<string, HollowBalancer>;
  /** Where the back ends of a zone stand. */
  readonly placesByZone: ReadonlyMap<string, Place>;
  /** The key of datagrams between balancers. */
  readonly gossipKey: GossipKey;
  /** Who takes links at this address, by the text form. */
  readonly linkServersByAddress: Map<string, LinkServerEnd>;
  /** Called when a balancer has a newer index in force. */
  onInForce(balancer: number, index: number): void;
}

/**
 * @returns the context of a step now
 */
export function contextOf({ queue, random }: HollowSurroundings): StepContext {
  return { nowMs: queue.nowMs, random };
}

/** Address of a control machine's links. */
export function controlAddress(number: number): Address {
  return { host: `12.0.0.${number + 1}`, port: 7_000 };
}

/** Addresses of a balancer towards other balancers. */
export function memberAddresses(number: number): MemberAddresses {
  return { host: hostNumbered(13, number), gossipPort: 7_001, linkPort: 7_002 };
}
