/**
 * @file Does a balancer get the changes since the version that it holds, or all routes?
 *
 * Inputs: the version that the balancer holds, the configuration in force, and the updates between the last versions.
 * Returns a config update, or none where the balancer lacks nothing. It gets the changes, joined over all versions
 * since its own, unless that version is not kept any more or they are more than the routes there are.
 *
 * Reason: whole configurations fill links. One of 2,710 routes, sent whole, was 287,446 bytes and occupied a balancer's
 * link of 2 Mbit/s for 1.15 s (docs/incidents/tv-cartago-grown-drain.md). The history owns the configuration in force
 * in its parsed form; it is soft state but for the newest version, which is in the replicated state.
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

/** The configuration in force, and the changes that led to it. */
export interface ConfigHistory {
  readonly config: DeclaredConfig | undefined;
  /** The version in force; `NO_VERSION` for none. */
  readonly version: number;
  /** Applies the configuration that is in force from now on. */
  apply(config: DeclaredConfig): void;
  /**
   * @param version that a balancer holds
   * @returns what it lacks; undefined where it lacks nothing
   */
  updateFrom(version: number): ConfigUpdate | undefined;
}

/**
 * Steps that are kept: the changes of four minutes at one a second. Not measured; too few would show as feeds that
 * carry all routes after a short outage of a link.
 */
const MAX_STEPS = 256;
/** Changes of routes that are kept over all steps; at some 100 bytes each 2 MB of memory. Not measured. */
const MAX_CHANGES = 20_000;

/** @returns a history with the configuration that was found at the start, or none */
export function createConfigHistory(found: DeclaredConfig | undefined): ConfigHistory {
  let config = found;
  /** Each leads to the version that the next one is made to; the last one to the version that holds. */
  let steps: ConfigStep[] = [];
  /** Updates that were asked for since the last change, by the version that they are made to. */
  const cached = new Map<number, ConfigUpdate>();

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
      steps = withinBounds([...steps, updateBetween(config, next)]);
    }
    config = next;
    cached.clear();
  }

  function updateFrom(version: number): ConfigUpdate | undefined {
    if (config === undefined || version >= config.version) {
      return undefined;
    }
    const update = cached.get(version) ?? createUpdate(config, version);
    cached.set(version, update);
    return update;
  }

  function createUpdate(held: DeclaredConfig, version: number): ConfigUpdate {
    const from = steps.findIndex(({ baseVersion }) => baseVersion === version);
    const joined = from < 0 ? undefined : mergeSteps(steps.slice(from));
    const whole = joined === undefined || joined.changes.length > held.routes.length;
    return whole ? fullUpdate(held) : joined;
  }
}

/** The newest steps, as many as may be kept. */
function withinBounds(steps: readonly ConfigStep[]): ConfigStep[] {
  let changes = 0;
  const firstKept = steps.findLastIndex((step) => (changes += step.changes.length) > MAX_CHANGES);
  return steps.slice(Math.max(firstKept + 1, steps.length - MAX_STEPS));
}
