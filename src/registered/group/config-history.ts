/**
 * @file The configuration that holds on a control machine, with the changes of the last versions, so that a
 * balancer that holds one of them gets what changed since and not the whole.
 */
import {
  joinUpdates,
  NO_VERSION,
  updateBetween,
  wholeUpdate,
  type ConfigUpdate,
} from '../declared/config-update.js';
import type { DeclaredConfig } from '../declared/declared-config.js';

/** The configuration that holds, and how it came about. */
export interface ConfigHistory {
  readonly config: DeclaredConfig | undefined;
  /** The version that holds; `NO_VERSION` for none. */
  readonly version: number;
  /** Takes the configuration that holds from now on. */
  apply(config: DeclaredConfig): void;
  /**
   * @param version what a balancer holds
   * @returns what it lacks; undefined where it lacks nothing
   */
  updateFrom(version: number): ConfigUpdate | undefined;
}

/** Steps that are kept: the changes of a few minutes at one a second. */
const MAX_STEPS = 256;
/** Changes of routes that are kept over all steps; some 100 bytes each. */
const MAX_CHANGES = 20_000;

/** @returns a history with the configuration that was found at the start, or none */
export function createConfigHistory(found: DeclaredConfig | undefined): ConfigHistory {
  let config = found;
  /** Each leads to the version that the next one is made to; the last one to the version that holds. */
  let steps: ConfigUpdate[] = [];
  /** Updates that were asked for since the last change, by the version that they are made to. */
  const made = new Map<number, ConfigUpdate>();

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
    made.clear();
  }

  function updateFrom(version: number): ConfigUpdate | undefined {
    if (config === undefined || version >= config.version) {
      return undefined;
    }
    const update = made.get(version) ?? makeUpdate(config, version);
    made.set(version, update);
    return update;
  }

  function makeUpdate(held: DeclaredConfig, version: number): ConfigUpdate {
    const from = steps.findIndex(({ baseVersion }) => baseVersion === version);
    const joined = from < 0 ? undefined : joinUpdates(steps.slice(from));
    const whole = joined === undefined || joined.changes.length > held.routes.length;
    return whole ? wholeUpdate(held) : joined;
  }
}

/** The newest steps, as many as may be kept. */
function withinBounds(steps: readonly ConfigUpdate[]): ConfigUpdate[] {
  let changes = 0;
  const firstKept = steps.findLastIndex((step) => (changes += step.changes.length) > MAX_CHANGES);
  return steps.slice(Math.max(firstKept + 1, steps.length - MAX_STEPS));
}
