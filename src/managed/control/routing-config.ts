/**
 * @file The part of the replicated state that balancers need to route: services, back ends and token keys. Control
 * machines publish it, balancers hold a copy of it. It depends on nothing else of the control machines.
 */
import type { Address } from '../../shared/common/address.js';

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
  /** Never used again; from the owner's own block of IDs. */
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
  /** From the owner's own block of IDs. */
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

/** What balancers need to route; the part of the state that is sent to them. */
export interface RoutingConfig {
  readonly services: Map<number, Service>;
  readonly backends: Map<number, Backend>;
  readonly keys: Map<number, TokenKey>;
}

/**
 * @returns a configuration without services
 */
export function emptyRoutingConfig(): RoutingConfig {
  return { services: new Map(), backends: new Map(), keys: new Map() };
}
