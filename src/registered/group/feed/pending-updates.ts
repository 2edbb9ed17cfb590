/**
 * @file Updates that have not been sent to a balancer yet, by name only; the state of a name is looked up when a
 * message is built. Repeated updates thus merge, and the number of names bounds what is pending for a slow balancer.
 */

/** Names whose state has changed. */
export interface PendingUpdates {
  /** IDs of back ends that were added, or whose record changed. */
  readonly registered: Set<string>;
  /** IDs of back ends whose liveness changed. */
  readonly livenessChanged: Set<string>;
  /** IDs of back ends that drain or have deregistered. */
  readonly departed: Set<string>;
  /** Names of balancers that were added, changed or removed. */
  readonly balancers: Set<string>;
  areControlsChanged: boolean;
  /** True if a zone was evacuated or readmitted. */
  areZonesChanged: boolean;
}

/** Collects the updates for all balancers between two ticks. */
export interface UpdateCollector {
  /** The updates since the last tick; callers must not change them. */
  readonly collected: PendingUpdates;
  addRegistered(backendId: string): void;
  addLivenessChange(backendId: string): void;
  addDeparture(backendId: string): void;
  addBalancer(name: string): void;
  markControlsChanged(): void;
  markZonesChanged(): void;
  /** Removes and returns all updates. */
  take(): PendingUpdates;
}

/** @returns an empty collector */
export function createUpdateCollector(): UpdateCollector {
  let collected = createPendingUpdates();

  return {
    get collected() {
      return collected;
    },
    addRegistered: (backendId) => void collected.registered.add(backendId),
    addLivenessChange: (backendId) => void collected.livenessChanged.add(backendId),
    addDeparture: (backendId) => void collected.departed.add(backendId),
    addBalancer: (name) => void collected.balancers.add(name),
    markControlsChanged: () => {
      collected.areControlsChanged = true;
    },
    markZonesChanged: () => {
      collected.areZonesChanged = true;
    },
    take,
  };

  function take(): PendingUpdates {
    const taken = collected;
    collected = createPendingUpdates();
    return taken;
  }
}

/** @returns an empty set of updates */
export function createPendingUpdates(): PendingUpdates {
  return {
    registered: new Set(),
    livenessChanged: new Set(),
    departed: new Set(),
    balancers: new Set(),
    areControlsChanged: false,
    areZonesChanged: false,
  };
}

/** @returns true if there is nothing to send */
export function hasNoUpdates(updates: PendingUpdates): boolean {
  const hasNoFlags = !updates.areControlsChanged && !updates.areZonesChanged;
  return hasNoFlags && nameSets(updates).every(({ size }) => size === 0);
}

/** Adds updates to the pending ones. */
export function mergeUpdates(pending: PendingUpdates, added: PendingUpdates): void {
  const pendingSets = nameSets(pending);
  nameSets(added).forEach((names, index) => names.forEach((name) => pendingSets[index]?.add(name)));
  pending.areControlsChanged ||= added.areControlsChanged;
  pending.areZonesChanged ||= added.areZonesChanged;
}

/**
 * Removes and returns updates, the oldest names first.
 * @param maxNames maximum number of names of each kind
 */
export function takeUpdates(pending: PendingUpdates, maxNames: number): PendingUpdates {
  const taken = createPendingUpdates();
  const takenSets = nameSets(taken);
  nameSets(pending).forEach((names, index) => {
    for (const name of names) {
      if ((takenSets[index]?.size ?? maxNames) >= maxNames) {
        break;
      }
      takenSets[index]?.add(name);
      names.delete(name);
    }
  });
  taken.areControlsChanged = pending.areControlsChanged;
  pending.areControlsChanged = false;
  taken.areZonesChanged = pending.areZonesChanged;
  pending.areZonesChanged = false;
  return taken;
}

function nameSets({ registered, livenessChanged, departed, balancers }: PendingUpdates) {
  return [registered, livenessChanged, departed, balancers];
}
