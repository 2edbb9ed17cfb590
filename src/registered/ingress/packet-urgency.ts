/** @file The class of urgency of a client packet, by its route and the switch `urgency`. */
import type { UrgencyClass } from '../decisions/urgency.js';
import type { IngressState } from './ingress-state.js';
import type { PacketView } from './packet-view.js';

/** @returns the class of the packet's route; undefined if routes are not distinguished */
export function urgencyOf(
  { options, routes }: IngressState,
  { destinationHost, destinationPort }: PacketView,
): UrgencyClass | undefined {
  return options.switches.urgency === 'off'
    ? undefined
    : routes.urgencyOf(destinationHost, destinationPort);
}
