/**
 * @file Keeps the current configuration and the deltas between its last versions. A balancer is sent the merged deltas
 * since its version, or a full update if its version is no longer kept or a full update has fewer changes.
 */
import {
  mergeSteps,
  NO_VERSION,
  updateBetween,
  fullUpdate,
  type ConfigStep,
  type ConfigUpdate,
} from '../../declared/config-update.js';
import type { DeclaredConfig } from '../../declared/declared-config.js';

/** The current configuration, and the deltas that led to it. */
export interface ConfigHistory {
  readonly config: DeclaredConfig | undefined;
  /** The current version; `NO_VERSION` if there is no configuration. */
  readonly version: number;
  /** Replaces the current configuration and records the delta. */
  apply(config: DeclaredConfig): void;
  /**
   * @param version the version of a balancer
   * @returns the update to the current version; undefined if the balancer needs none
   */
  updateFrom(version: number): ConfigUpdate | undefined;
}

/** Four minutes of changes at one per second, so that a short link outage needs no full update. */
const MAX_STEPS = 256;
/** Route changes over all steps; about 2 MB of memory at 100 bytes each. */
const MAX_CHANGES = 20_000;

/** @returns a history that starts with the given configuration, without deltas */
export function createConfigHistory(initial: DeclaredConfig | undefined): ConfigHistory {
  let config = initial;
  /** Consecutive deltas; the last one leads to the current version. */
  let steps: ConfigStep[] = [];
  /** Updates to the current version, by base version. */
  const cachedUpdates = new Map<number, ConfigUpdate>();

  return {
    get config() {
      return config;
    },
    get version() {
      return config?.version ?? NO_VERSION;
    },
    apply,
    updateFrom,
  };

  function apply(next: DeclaredConfig): void {
    if (config !== undefined) {
      steps = newestSteps([...steps, updateBetween(config, next)]);
    }
    config = next;
    cachedUpdates.clear();
  }

  function updateFrom(version: number): ConfigUpdate | undefined {
    if (config === undefined || version >= config.version) {
      return undefined;
    }
    const update = cachedUpdates.get(version) ?? createUpdate(config, version);
    cachedUpdates.set(version, update);
    return update;
  }

  function createUpdate(current: DeclaredConfig, version: number): ConfigUpdate {
    const firstStep = steps.findIndex(({ baseVersion }) => baseVersion === version);
    const delta = firstStep < 0 ? undefined : mergeSteps(steps.slice(firstStep));
    const shouldSendFull = delta === undefined || delta.changes.length > current.routes.length;
    return shouldSendFull ? fullUpdate(current) : delta;
  }
}

/** The newest steps within `MAX_STEPS` and `MAX_CHANGES`. */
function newestSteps(steps: readonly ConfigStep[]): ConfigStep[] {
  let changeCount = 0;
  const lastDropped = steps.findLastIndex(
    (step) => (changeCount += step.changes.length) > MAX_CHANGES,
  );
  return steps.slice(Math.max(lastDropped + 1, steps.length - MAX_STEPS));
}
