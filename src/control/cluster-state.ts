/**
 * @file The replicated state: operators, services, back ends, token keys and results of commands.
 * Everything in it is plain data, so that a snapshot is its MessagePack form.
 */
import type { Address } from '../common/address.js';
import type { CommandOutcome } from './commands.js';

/** Names of the placement policies that a service may choose. */
export const placementPolicyNames = ['random', 'maglev', 'least-reported', 'adaptive'] as const;

/** Name of a placement policy. */
export type PlacementPolicyName = (typeof placementPolicyNames)[number];

/** Limits of one service; absent fields take the balancer's defaults. */
export interface ServiceLimits {
  /** New flows a second over the whole cluster. */
  readonly opensPerSecond?: number | undefined;
  /** Open flows that one back end may hold. */
  readonly connectionsPerBackend?: number | undefined;
}

/** A service: one address, several back ends, one owner. */
export interface Service {
  /** Never used again. */
  readonly id: number;
  readonly name: string;
  /** Name of the operator who owns it. */
  readonly owner: string;
  /** Address that callers use, one per service. */
  readonly address: Address;
  readonly policy: PlacementPolicyName;
  readonly limits: ServiceLimits;
  /** Counts every change to the service and its back ends; starts at 1. */
  readonly version: number;
}

/** What the operators want of a back end. */
export type BackendAdminState = 'active' | 'draining';

/** A back end of a service. A retired one leaves the state; its id is never used again. */
export interface Backend {
  readonly id: number;
  readonly serviceId: number;
  /** UDP address for packets. */
  readonly address: Address;
  /** TCP address of its HTTP health and load endpoints. */
  readonly healthAddress: Address;
  readonly zone: string;
  readonly adminState: BackendAdminState;
}

/** A key for routing tokens. */
export interface TokenKey {
  /** 0 to 255. */
  readonly id: number;
  /** 16 bytes. */
  readonly secret: Uint8Array;
  /** `next` is known but not yet minted with, `current` is minted with, `previous` only checked. */
  readonly state: 'next' | 'current' | 'previous';
}

/** An operator: one of the partners. */
export interface Operator {
  readonly name: string;
  /** SHA-256 of the operator's bearer token, in hex. */
  readonly tokenHash: string;
}

/** What balancers need to route; the part of the state that is sent to them. */
export interface RoutingConfig {
  readonly services: Map<number, Service>;
  readonly backends: Map<number, Backend>;
  readonly keys: Map<number, TokenKey>;
}

/** The result of a command, kept so that the same command sent again gets the same answer. */
export interface CommandRecord {
  readonly commandId: string;
  readonly operator: string;
  /** SHA-256 of the command, so that an id used for another command is refused. */
  readonly commandHash: string;
  readonly outcome: CommandOutcome;
  /** Index of the log entry that carried it. */
  readonly index: number;
}

/** The whole replicated state. */
export interface ClusterState {
  /** Index of the last entry applied. */
  index: number;
  /** Term of the last entry applied. */
  term: number;
  nextServiceId: number;
  nextBackendId: number;
  readonly operators: Map<string, Operator>;
  readonly routing: RoutingConfig;
  /** By operator and command ID, see `commandRecordKey`. */
  readonly commandRecords: Map<string, CommandRecord>;
}

/**
 * @returns the state before the first entry
 */
export function emptyClusterState(): ClusterState {
  return {
    index: 0,
    term: 0,
    nextServiceId: 1,
    nextBackendId: 1,
    operators: new Map(),
    routing: emptyRoutingConfig(),
    commandRecords: new Map(),
  };
}

/**
 * @returns a configuration without services
 */
export function emptyRoutingConfig(): RoutingConfig {
  return { services: new Map(), backends: new Map(), keys: new Map() };
}

/**
 * @returns the key of `ClusterState.commandRecords`
 */
export function commandRecordKey(operator: string, commandId: string): string {
  return `${operator}/${commandId}`;
}
