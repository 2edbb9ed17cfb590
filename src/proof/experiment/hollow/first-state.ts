/**
 * @file The cluster state with which a hollow world begins: operators, services and back ends, made by
 * the replicated step itself, as a snapshot on the disk of each control machine.
 */
import type { Address } from '../../../shared/common/address.js';
import type { Membership } from '../../../shared/consensus/membership.js';
import type { RecoveredState } from '../../../shared/consensus/persisted-state.js';
import { applyCommand } from '../../../managed/control/apply-command.js';
import { emptyClusterState, type ClusterState } from '../../../managed/control/cluster-state.js';
import { encodeClusterState } from '../../../managed/control/cluster-snapshot.js';
import { timedCommandId } from '../../../managed/control/command-id.js';
import { SYSTEM_OPERATOR, type Command } from '../../../managed/control/commands.js';
import { TOKEN_KEY_LENGTH_BYTES } from '../../../managed/flow/token.js';
import type { Place } from './places.js';

/** The operator who owns the services of a hollow world. */
export const HOLLOW_OPERATOR = 'hollow';
/** Unix time at which a hollow world begins, in milliseconds. */
export const HOLLOW_START_MS = Date.UTC(2026, 11, 2);
const CLUSTER_ID = 'hollow-cluster';
const FIRST_TERM = 1;
const BITS_PER_OCTET = 8;
const OCTET_MASK = 255;
const SERVICE_PORT = 443;
const BACKEND_PORT = 9_000;
const HEALTH_PORT = 9_001;

/** How much configuration there is. */
export interface ConfigSize {
  readonly services: number;
  readonly backends: number;
}

/**
 * @returns the state with this many services and back ends, spread evenly
 */
export function makeClusterState(size: ConfigSize, places: readonly Place[]): ClusterState {
  const state = emptyClusterState();
  const system = (command: Command) => apply(state, SYSTEM_OPERATOR, command);
  const operators = [{ name: HOLLOW_OPERATOR, tokenHash: '0'.repeat(64) }];
  system({ type: 'set-operators', operators });
  const secret = new Uint8Array(TOKEN_KEY_LENGTH_BYTES).fill(7);
  system({ type: 'set-token-key', id: 1, secret, state: 'current' });
  for (let number = 0; number < size.services; number += 1) {
    apply(state, HOLLOW_OPERATOR, {
      type: 'define-service',
      service: serviceName(number),
      address: { host: hostNumbered(10, number), port: SERVICE_PORT },
      policy: 'adaptive',
      limits: {},
    });
  }
  for (let number = 0; number < size.backends; number += 1) {
    apply(state, HOLLOW_OPERATOR, addBackendCommand(number, size, places));
  }
  return state;
}

/**
 * @returns the command that adds the back end with this number
 */
export function addBackendCommand(
  number: number,
  size: ConfigSize,
  places: readonly Place[],
): Extract<Command, { type: 'add-backend' }> {
  const host = hostNumbered(11, number);
  return {
    type: 'add-backend',
    service: serviceName(number % size.services),
    address: { host, port: BACKEND_PORT },
    healthAddress: { host, port: HEALTH_PORT },
    zone: places[number % places.length]?.zone ?? 'zone-1',
  };
}

/**
 * @returns what the disk of a control machine holds at the start
 */
export function firstDisk(
  storageId: string,
  state: ClusterState,
  membership: Membership,
): RecoveredState {
  const { index, term } = state;
  return {
    storageId,
    snapshot: { index, term, membership, data: encodeClusterState(state) },
    records: [
      { type: 'base', base: { index, term } },
      { type: 'cluster', clusterId: CLUSTER_ID },
      { type: 'vote', term, votedFor: undefined },
    ],
  };
}

/**
 * @returns 10.x.y.z or the like
 */
export function hostNumbered(firstOctet: number, number: number): Address['host'] {
  const octets = [2 * BITS_PER_OCTET, BITS_PER_OCTET, 0].map(
    (shift) => (number >> shift) & OCTET_MASK,
  );
  return [firstOctet, ...octets].join('.');
}

function serviceName(number: number): string {
  return `service-${number}`;
}

function apply(state: ClusterState, operator: string, command: Command): void {
  const index = state.index + 1;
  const commandId = timedCommandId(HOLLOW_START_MS, `first-${index}`);
  const entry = { operator, commandId, command, atMs: HOLLOW_START_MS };
  const { outcome } = applyCommand(state, { term: FIRST_TERM, index }, entry);
  if (!outcome.accepted) {
    throw new Error(`${command.type} was refused: ${outcome.error.message}`);
  }
}
