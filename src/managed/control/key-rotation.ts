/**
 * @file Which step of the rotation of token keys is due? A key is `next` until it is in force on every balancer, so that no
 * balancer gets a token that it can't check; then `current` for `rotateAfterMs`; then `previous` for `keepPreviousMs`, while
 * flows live whose tokens were minted with it; then it is removed. One step at a time, a promotion before a removal, a
 * removal before a new key.
 *
 * Inputs: the keys with the entry and time of their last change, the log index in force everywhere, Unix time in
 * milliseconds. The two periods are needs of the users, not measurements: no flow may stay open for longer than a key is
 * kept as `previous`; a shorter period shows as `amberlift_errors_total{kind="unknown-key"}`.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import { MAX_TOKEN_KEY_ID, TOKEN_KEY_LENGTH_BYTES } from '../flow/token.js';
import type { ClusterState } from './cluster-state.js';
import type { TokenKey } from './routing-config.js';
import type { SystemCommand } from './commands.js';
import type { ConfigChange } from './config-delta.js';

const DAY_MS = 24 * 60 * 60 * 1000;

/** When keys are rotated; times in milliseconds. */
export interface KeyRotationOptions {
  /** How long a key is `current`. Default 7 days. */
  readonly rotateAfterMs: number;
  /** How long a key is `previous`: no flow may stay open longer. Default 14 days. */
  readonly keepPreviousMs: number;
}

/** The options of a cluster. */
export const defaultKeyRotationOptions: KeyRotationOptions = {
  rotateAfterMs: 7 * DAY_MS,
  keepPreviousMs: 14 * DAY_MS,
};

/** What the leader should propose next; a new key's secret is drawn by the caller. */
export type KeyStep =
  | { readonly type: 'add-next'; readonly id: number }
  | { readonly type: 'promote'; readonly id: number }
  | { readonly type: 'remove'; readonly id: number };

/**
 * Decides the next step of the rotation.
 * @param nowMs Unix time in milliseconds
 * @param inForceIndex every balancer has this log index in force
 */
export function nextKeyStep(
  state: ClusterState,
  nowMs: number,
  inForceIndex: number,
  options: KeyRotationOptions = defaultKeyRotationOptions,
): KeyStep | undefined {
  const keys = [...state.routing.keys.values()];
  const next = keys.find((key) => key.state === 'next');
  if (next !== undefined) {
    const sinceIndex = state.keyAges.get(next.id)?.sinceIndex ?? Infinity;
    return sinceIndex <= inForceIndex ? { type: 'promote', id: next.id } : undefined;
  }
  const outdated = keys.find(
    (key) => key.state === 'previous' && ageMs(state, key, nowMs) >= options.keepPreviousMs,
  );
  if (outdated !== undefined) {
    return { type: 'remove', id: outdated.id };
  }
  const current = keys.find((key) => key.state === 'current');
  if (current !== undefined && ageMs(state, current, nowMs) >= options.rotateAfterMs) {
    const id = freeKeyId(state, current.id);
    return id === undefined ? undefined : { type: 'add-next', id };
  }
  return undefined;
}

/**
 * Decides a command on token keys.
 * @returns the changes, or `conflict` where the key is in no state for it
 */
export function decideKeyCommand(
  state: ClusterState,
  command: Extract<
    SystemCommand,
    { type: 'set-token-key' | 'promote-token-key' | 'remove-token-key' }
  >,
): Result<ConfigChange[], AmberliftError> {
  const { keys } = state.routing;
  const key = keys.get(command.id);
  const current = [...keys.values()].find((other) => other.state === 'current');
  if (command.type === 'set-token-key') {
    return addKey(state, command);
  }
  if (command.type === 'promote-token-key') {
    if (key?.state !== 'next') {
      return err(amberliftError('conflict', `Key ${command.id} is not the next one.`));
    }
    const demoted: ConfigChange[] =
      current === undefined ? [] : [{ type: 'key-set', key: { ...current, state: 'previous' } }];
    return ok([...demoted, { type: 'key-set', key: { ...key, state: 'current' } }]);
  }
  return key?.state === 'previous'
    ? ok([{ type: 'key-removed', keyId: key.id }])
    : err(amberliftError('conflict', `Key ${command.id} is not a previous one.`));
}

function addKey(
  state: ClusterState,
  command: Extract<SystemCommand, { type: 'set-token-key' }>,
): Result<ConfigChange[], AmberliftError> {
  const { id, secret, state: keyState } = command;
  const { keys } = state.routing;
  const taken = [...keys.values()].some((key) => key.state === keyState);
  if (keys.has(id) || taken) {
    return err(amberliftError('conflict', `Key ${id} or its state is taken.`));
  }
  if (secret.length !== TOKEN_KEY_LENGTH_BYTES) {
    return err(amberliftError('invalid-command', 'The key has a wrong length.'));
  }
  return ok([{ type: 'key-set', key: { id, secret, state: keyState } }]);
}

function ageMs(state: ClusterState, key: TokenKey, nowMs: number): number {
  return nowMs - (state.keyAges.get(key.id)?.sinceMs ?? nowMs);
}

function freeKeyId(state: ClusterState, currentId: number): number | undefined {
  for (let distance = 1; distance <= MAX_TOKEN_KEY_ID; distance += 1) {
    const id = (currentId + distance) % (MAX_TOKEN_KEY_ID + 1);
    if (!state.routing.keys.has(id)) {
      return id;
    }
  }
  return undefined;
}
