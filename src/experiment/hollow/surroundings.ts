/**
 * @file What all hollow nodes of a world share.
 */
import type { Address } from '../../common/address.js';
import type { RandomSource, StepContext } from '../../common/step.js';
import type { EventQueue } from './event-queue.js';
import type { HollowControl } from './hollow-control.js';
import type { LinkServerEnd } from './hollow-link.js';
import type { Meter } from './meter.js';
import type { PlaceNetwork } from './places.js';
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

/** Addresses of the control machines' links. */
export function controlAddress(number: number): Address {
  return { host: `12.0.0.${number + 1}`, port: 7_000 };
}
