/**
 * @file Does a committed order for a zone take effect, or does it come too late?
 *
 * Inputs: the order with the number of orders for its zone that were known to the machine that accepted it, and how the
 * zone stands. Returns `changed`, `known` or `outdated`. An order that does not follow the last one for its zone
 * changes nothing.
 *
 * Reason: an order may be held by a machine that stood still, or on a link that was cut, while its sender gave it to
 * another machine, had it acknowledged, and has taken it back since. An age that is carried along was weighed and left
 * out, since nobody sees how long an order lay in a socket (docs/design/zones-and-slow-start.md; a mutant that
 * applies late orders is caught by test/registered/ingress/evacuation). Log lines: `zone evacuated`, `zone readmitted`,
 * `order outdated`.
 *
 * A zone that is evacuated gets no new flows until it is readmitted. The statuses are a part of the replicated state
 * and of its snapshots, so the fields keep their names.
 */

/** What an operator may order for a zone. */
export type ZoneOrderKind = 'evacuate' | 'readmit';

/** An order for a zone. */
export interface ZoneOrder {
  readonly zone: string;
  readonly kind: ZoneOrderKind;
  /** How many orders that changed the zone were known to the machine that accepted this one. */
  readonly afterOrders: number;
}

/** Whether a zone is evacuated, by the orders for it. */
export interface ZoneStatus {
  readonly zone: string;
  readonly isEvacuated: boolean;
  /** How many orders have changed it; the highest number is the newest. */
  readonly orders: number;
}

/** What became of an order. */
type ZoneOrderOutcome =
  | 'changed'
  /** The zone is in that state already: the order is acknowledged again. */
  | 'known'
  /** Another order came between; an operator who still wants this one sends it again. */
  | 'outdated';

/** All orders for zones. */
interface ZoneOrders {
  /** @returns the status of a zone; not evacuated where there was no order for it */
  statusOf(zone: string): ZoneStatus;
  /** All zones for which there ever was an order. */
  all(): ZoneStatus[];
  apply(order: ZoneOrder): ZoneOrderOutcome;
  /** Replaces all. */
  restore(statuses: readonly ZoneStatus[]): void;
}

/** @returns true where a zone is in the state that an order asks for */
export function isFulfilled({ kind }: ZoneOrder, { isEvacuated }: ZoneStatus): boolean {
  return isEvacuated === (kind === 'evacuate');
}

/** @returns the orders of a group to which none was given */
export function createZoneOrders(): ZoneOrders {
  const statuses = new Map<string, ZoneStatus>();

  return { statusOf, all: () => [...statuses.values()], apply, restore };

  function statusOf(zone: string): ZoneStatus {
    return statuses.get(zone) ?? { zone, isEvacuated: false, orders: 0 };
  }

  function apply(order: ZoneOrder): ZoneOrderOutcome {
    const { zone, kind, afterOrders } = order;
    const before = statusOf(zone);
    if (isFulfilled(order, before)) {
      return 'known';
    }
    if (afterOrders !== before.orders) {
      return 'outdated';
    }
    statuses.set(zone, { zone, isEvacuated: kind === 'evacuate', orders: before.orders + 1 });
    return 'changed';
  }

  function restore(saved: readonly ZoneStatus[]): void {
    statuses.clear();
    saved.forEach((status) => statuses.set(status.zone, status));
  }
}
