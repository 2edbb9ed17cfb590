/**
 * @file What balancers have not been sent yet, by name only: the present state of each name is looked up when the
 * message is made. Updates of one thing thus merge for a receiver that is behind, and what waits for it is bounded by
 * the number of names.
 */

/** What has changed. */
export interface PendingUpdates {
  /** IDs of back ends that came, or whose record changed. */
  readonly registered: Set<string>;
  /** IDs of back ends whose liveness changed. */
  readonly livenessChanged: Set<string>;
  /** IDs of back ends that leave. */
  readonly departed: Set<string>;
  /** Names of balancers that came or went. */
  readonly balancers: Set<string>;
  areControlsChanged: boolean;
  /** Orders for zones. */
  areZonesChanged: boolean;
}

/** Updates for all balancers since the last tick. */
export interface UpdateCollector {
  /** What was added since the last tick; not to be changed. */
  readonly collected: PendingUpdates;
  addRegistered(backendId: string): void;
  addLivenessChange(backendId: string): void;
  addDeparture(backendId: string): void;
  addBalancer(name: string): void;
  addControls(): void;
  addZones(): void;
  /** Removes and returns all. */
  take(): PendingUpdates;
}

/** @returns a collector without updates */
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
    addControls: () => {
      collected.areControlsChanged = true;
    },
    addZones: () => {
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

/** @returns no updates */
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

/** @returns true where there is nothing to send */
export function hasNoUpdates(updates: PendingUpdates): boolean {
  const isNothingWhole = !updates.areControlsChanged && !updates.areZonesChanged;
  return isNothingWhole && namesIn(updates).every(({ size }) => size === 0);
}

/** Adds updates to those that wait already. */
export function mergeUpdates(waiting: PendingUpdates, more: PendingUpdates): void {
  const sets = namesIn(waiting);
  namesIn(more).forEach((names, at) => names.forEach((name) => sets[at]?.add(name)));
  waiting.areControlsChanged ||= more.areControlsChanged;
  waiting.areZonesChanged ||= more.areZonesChanged;
}

/**
 * Removes and returns some updates, the oldest ones first.
 * @param maxNames at most so many names of each kind
 */
export function takeUpdates(waiting: PendingUpdates, maxNames: number): PendingUpdates {
  const taken = createPendingUpdates();
  const sets = namesIn(taken);
  namesIn(waiting).forEach((names, at) => {
    for (const name of names) {
      if ((sets[at]?.size ?? maxNames) >= maxNames) {
        break;
      }
      sets[at]?.add(name);
      names.delete(name);
    }
  });
  taken.areControlsChanged = waiting.areControlsChanged;
  waiting.areControlsChanged = false;
  taken.areZonesChanged = waiting.areZonesChanged;
  waiting.areZonesChanged = false;
  return taken;
}

function namesIn({ registered, livenessChanged, departed, balancers }: PendingUpdates) {
  return [registered, livenessChanged, departed, balancers];
}
