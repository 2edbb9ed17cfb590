/**
 * @file Evacuation and readmission orders for zones. An order names the number of orders that its receiver knew for the
 * zone, and is ignored if another one has been applied since (optimistic concurrency control). This protects against
 * orders that were delayed by a paused process or a broken link, and that the operator has since reversed elsewhere.
 *
 * An evacuated zone gets no new flows until it is readmitted. Orders and statuses are part of stored commands and
 * snapshots, so their field names must not change.
 */

/** The kinds of orders that operators can give. */
export type ZoneOrderKind = 'evacuate' | 'readmit';

/** An order for a zone. */
export interface ZoneOrder {
  readonly zone: string;
  readonly kind: ZoneOrderKind;
  /** Value of `orders` of the zone at the machine that accepted this order. */
  readonly afterOrders: number;
}

/** Status of a zone. */
export interface ZoneStatus {
  readonly zone: string;
  readonly isEvacuated: boolean;
  /** Number of orders that have changed the zone; a higher number is a newer status. */
  readonly orders: number;
}

/** Result of applying an order. */
type ZoneOrderOutcome =
  | 'changed'
  /** The zone is already in the ordered state; the order is acknowledged. */
  | 'unchanged'
  /** Another order was applied in the meantime; the order is refused. */
  | 'outdated';

/** Status of all zones. */
interface ZoneOrders {
  /** @returns the status of a zone; not evacuated if it has had no order */
  statusOf(zone: string): ZoneStatus;
  /** @returns the status of every zone that has had an order */
  all(): ZoneStatus[];
  apply(order: ZoneOrder): ZoneOrderOutcome;
  /** Replaces all statuses. */
  restore(statuses: readonly ZoneStatus[]): void;
}

/** @returns true if a zone is already in the ordered state */
export function isFulfilled({ kind }: ZoneOrder, { isEvacuated }: ZoneStatus): boolean {
  return isEvacuated === (kind === 'evacuate');
}

/** @returns an empty set of zone statuses */
export function createZoneOrders(): ZoneOrders {
  const statuses = new Map<string, ZoneStatus>();

  return { statusOf, all: () => [...statuses.values()], apply, restore };

  function statusOf(zone: string): ZoneStatus {
    return statuses.get(zone) ?? { zone, isEvacuated: false, orders: 0 };
  }

  function apply(order: ZoneOrder): ZoneOrderOutcome {
    const { zone, kind, afterOrders } = order;
    const status = statusOf(zone);
    if (isFulfilled(order, status)) {
      return 'unchanged';
    }
    if (afterOrders !== status.orders) {
      return 'outdated';
    }
    statuses.set(zone, { zone, isEvacuated: kind === 'evacuate', orders: status.orders + 1 });
    return 'changed';
  }

  function restore(saved: readonly ZoneStatus[]): void {
    statuses.clear();
    saved.forEach((status) => statuses.set(status.zone, status));
  }
}
