/**
 * @file Serialization of the cluster state for snapshots on disk and between control machines. Equal states give
 * equal bytes.
 */
import { Packr } from 'msgpackr';
import type {
  ClusterState,
  CommandRecord,
  Operator,
  OwnerState,
  PlannedChange,
  QuarantinedAddress,
  TokenKeyAge,
} from './cluster-state.js';
import type { Backend, Service, TokenKey } from './routing-config.js';
import { buildConfigLookup } from './config-lookup.js';

const packr = new Packr({ useRecords: false, variableMapSize: true });

interface SnapshotOwner extends Omit<OwnerState, 'plans' | 'commandRecords'> {
  readonly plans: readonly PlannedChange[];
  readonly commandRecords: readonly CommandRecord[];
}

/** The cluster state with its maps converted to arrays. */
interface ClusterSnapshot {
  readonly index: number;
  readonly term: number;
  readonly timeMs: number;
  readonly operators: readonly Operator[];
  readonly owners: readonly SnapshotOwner[];
  readonly services: readonly Service[];
  readonly backends: readonly Backend[];
  readonly keys: readonly TokenKey[];
  readonly keyAges: readonly (readonly [keyId: number, age: TokenKeyAge])[];
  readonly quarantine: readonly (readonly [address: string, entry: QuarantinedAddress])[];
}

/**
 * Serializes the state as MessagePack, without the derived lookup tables.
 */
export function encodeClusterState(state: ClusterState): Uint8Array {
  const { index, term, timeMs, routing } = state;
  const snapshot: ClusterSnapshot = {
    index,
    term,
    timeMs,
    operators: [...state.operators.values()],
    owners: [...state.owners.values()].map((owner) => ({
      ...owner,
      plans: [...owner.plans.values()],
      commandRecords: [...owner.commandRecords.values()],
    })),
    services: [...routing.services.values()],
    backends: [...routing.backends.values()],
    keys: [...routing.keys.values()],
    keyAges: [...state.keyAges],
    quarantine: [...state.quarantine],
  };
  return packr.pack(snapshot);
}

/**
 * Restores a state and rebuilds its lookup tables.
 * @param bytes output of `encodeClusterState`; the storage layer has verified their integrity
 */
export function decodeClusterState(bytes: Uint8Array): ClusterState {
  const snapshot = packr.unpack(bytes) as ClusterSnapshot;
  const routing = {
    services: new Map(snapshot.services.map((service) => [service.id, service])),
    backends: new Map(snapshot.backends.map((backend) => [backend.id, backend])),
    // Copies the secret: a view would keep the buffer of the whole snapshot in memory.
    keys: new Map(
      snapshot.keys.map((key) => [key.id, { ...key, secret: Uint8Array.from(key.secret) }]),
    ),
  };
  return {
    index: snapshot.index,
    term: snapshot.term,
    timeMs: snapshot.timeMs,
    operators: new Map(snapshot.operators.map((operator) => [operator.name, operator])),
    owners: new Map(snapshot.owners.map((owner) => [owner.name, restoreOwner(owner)])),
    routing,
    keyAges: new Map(snapshot.keyAges),
    quarantine: new Map(snapshot.quarantine),
    lookup: buildConfigLookup(routing),
  };
}

function restoreOwner(owner: SnapshotOwner): OwnerState {
  return {
    ...owner,
    plans: new Map(owner.plans.map((plan) => [plan.id, plan])),
    commandRecords: new Map(owner.commandRecords.map((record) => [record.commandId, record])),
  };
}
