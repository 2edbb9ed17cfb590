/**
 * @file System commands other than the execution of planned changes. They are idempotent, so their outcomes are not
 * recorded.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { parseAddressRange, rangesOverlap } from '../../shared/common/address-range.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import { releaseAddresses } from './address-quarantine.js';
import { emptyOwnerState, type ClusterState, type Operator } from './cluster-state.js';
import { SYSTEM_OPERATOR, type SystemCommand } from './commands.js';
import { applyToConfig } from './config-lookup.js';
import type { ConfigChange } from './config-delta.js';
import { MAX_OPERATORS } from './id-blocks.js';
import { decideKeyCommand } from './key-rotation.js';

/** A system command that does not act for an operator. */
type PlainSystemCommand = Exclude<SystemCommand, { type: 'run-planned-change' }>;

/**
 * Applies a system command to the state.
 * @returns the configuration changes to publish to balancers
 */
export function applySystemCommand(
  state: ClusterState,
  command: PlainSystemCommand,
): Result<readonly ConfigChange[], AmberliftError> {
  return match(command)
    .with({ type: 'set-operators' }, ({ operators }) => setOperators(state, operators))
    .with(
      { type: 'set-token-key' },
      { type: 'promote-token-key' },
      { type: 'remove-token-key' },
      (keyCommand) =>
        decideKeyCommand(state, keyCommand).map((changes) => applyKeyChanges(state, changes)),
    )
    .with({ type: 'release-addresses' }, ({ fencedIndex }) => {
      releaseAddresses(state, fencedIndex);
      return ok([]);
    })
    .exhaustive();
}

function setOperators(
  state: ClusterState,
  operators: readonly Operator[],
): Result<ConfigChange[], AmberliftError> {
  const merged = new Map(state.operators);
  operators.forEach((operator) => merged.set(operator.name, operator));
  if (merged.has(SYSTEM_OPERATOR) || merged.size > MAX_OPERATORS) {
    return err(amberliftError('invalid-command', 'A name is taken, or there are too many.'));
  }
  const overlapping = overlappingOperators([...merged.values()]);
  if (overlapping !== undefined) {
    const message = `The address ranges of ${overlapping.join(' and ')} overlap.`;
    return err(amberliftError('invalid-command', message));
  }
  for (const operator of operators) {
    state.operators.set(operator.name, operator);
    if (!state.owners.has(operator.name)) {
      state.owners.set(operator.name, emptyOwnerState(operator.name, state.owners.size));
    }
  }
  return ok([]);
}

/** Returns the names of the first two operators with overlapping address ranges, if any. */
function overlappingOperators(operators: readonly Operator[]): string[] | undefined {
  const grants = operators.flatMap(({ name, addressRanges }) =>
    (addressRanges ?? []).flatMap((text) => {
      const range = parseAddressRange(text);
      return range === undefined ? [] : [{ name, range }];
    }),
  );
  for (const [position, grant] of grants.entries()) {
    const other = grants
      .slice(position + 1)
      .find(({ name, range }) => name !== grant.name && rangesOverlap(range, grant.range));
    if (other !== undefined) {
      return [grant.name, other.name];
    }
  }
  return undefined;
}

function applyKeyChanges(state: ClusterState, changes: readonly ConfigChange[]) {
  for (const change of changes) {
    applyToConfig(state.routing, state.lookup, change);
    if (change.type === 'key-set') {
      state.keyAges.set(change.key.id, { sinceIndex: state.index, sinceMs: state.timeMs });
    } else if (change.type === 'key-removed') {
      state.keyAges.delete(change.keyId);
    }
  }
  return changes;
}
