/**
 * @file What operators have ordered for zones: a zone that is evacuated gets no new flows until it is
 * readmitted. It is a part of the replicated state.
 *
 * An order may come late: held by a machine that stood still, or on a link that was cut, while its sender gave it
 * to another machine, had it acknowledged, and has taken it back since. Each order therefore names how many orders
 * the machine that took it knew of; one that does not follow the last order of its zone changes nothing.
 */

/** What an operator may order for a zone. */
export type ZoneOrderKind = 'evacuate' | 'readmit';

/** An order for a zone. */
export interface ZoneOrder {
  readonly zone: string;
  readonly kind: ZoneOrderKind;
  /** How many orders that changed the zone the machine knew that took this one from the operator. */
  readonly afterOrders: number;
}

/** How a zone stands by the orders for it. */
export interface ZoneStatus {
  readonly zone: string;
  readonly isEvacuated: boolean;
  /** How many orders have changed it; the highest number is the newest. */
  readonly orders: number;
}

/** What became of an order. */
export type ZoneOrderOutcome =
  | 'changed'
  /** The zone stands so already: it is acknowledged again. */
  | 'known'
  /** Another order came between; whoever still wants this one sends it again. */
  | 'outdated';

/** All orders for zones. */
export interface ZoneOrders {
  /** @returns how a zone stands; readmitted without any order */
  statusOf(zone: string): ZoneStatus;
  /** All zones for which there ever was an order. */
  all(): ZoneStatus[];
  apply(order: ZoneOrder): ZoneOrderOutcome;
  /** Replaces all. */
  restore(statuses: readonly ZoneStatus[]): void;
}

/** @returns true where a zone stands as an order wants it */
export function isFulfilled({ kind }: ZoneOrder, { isEvacuated }: ZoneStatus): boolean {
  return isEvacuated === (kind === 'evacuate');
}

/** @returns the state of a group to which nothing was ordered */
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
