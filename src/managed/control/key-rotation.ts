/**
 * @file Rotation of token keys. A key is `next` until every balancer has it, so that all balancers can verify its
 * tokens; then `current`, which mints new tokens; then `previous`, which verifies tokens of open flows; then it is
 * removed.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import { MAX_TOKEN_KEY_ID, TOKEN_KEY_LENGTH_BYTES } from '../flow/token.js';
import type { ClusterState } from './cluster-state.js';
import type { TokenKey } from './routing-config.js';
import type { SystemCommand } from './commands.js';
import type { ConfigChange } from './config-delta.js';

const DAY_MS = 24 * 60 * 60 * 1000;

/** Periods of the key rotation, in milliseconds. */
export interface KeyRotationOptions {
  /** How long a key is `current`. Default 7 days. */
  readonly rotateAfterMs: number;
  /**
   * How long a key is `previous`. Default 14 days. Must exceed the longest lifetime of a flow, whose tokens otherwise
   * fail as `unknown-key`.
   */
  readonly keepPreviousMs: number;
}

/** The default periods. */
export const defaultKeyRotationOptions: KeyRotationOptions = {
  rotateAfterMs: 7 * DAY_MS,
  keepPreviousMs: 14 * DAY_MS,
};

/** A step of the rotation for the leader to propose; the caller generates the secret of a new key. */
export type KeyStep =
  | { readonly type: 'add-next'; readonly id: number }
  | { readonly type: 'promote'; readonly id: number }
  | { readonly type: 'remove'; readonly id: number };

/**
 * Decides the next step of the rotation: a promotion before a removal, and a removal before a new key.
 * @param nowMs Unix time in milliseconds
 * @param inForceIndex log index that every balancer has in force
 * @returns the step, or undefined if none is due
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
  const expired = keys.find(
    (key) => key.state === 'previous' && ageMs(state, key, nowMs) >= options.keepPreviousMs,
  );
  if (expired !== undefined) {
    return { type: 'remove', id: expired.id };
  }
  const current = keys.find((key) => key.state === 'current');
  if (current !== undefined && ageMs(state, current, nowMs) >= options.rotateAfterMs) {
    const id = freeKeyId(state, current.id);
    return id === undefined ? undefined : { type: 'add-next', id };
  }
  return undefined;
}

/**
 * Checks a command on token keys.
 * @returns its changes; `conflict` if the state of the keys does not allow it; `invalid-command` for a bad secret
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
  const isStateInUse = [...keys.values()].some((key) => key.state === keyState);
  if (keys.has(id) || isStateInUse) {
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
  for (let offset = 1; offset <= MAX_TOKEN_KEY_ID; offset += 1) {
    const id = (currentId + offset) % (MAX_TOKEN_KEY_ID + 1);
    if (!state.routing.keys.has(id)) {
      return id;
    }
  }
  return undefined;
}
