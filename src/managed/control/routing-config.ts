/**
 * @file The routing configuration: services, back ends and token keys. Control machines replicate and publish it, and
 * balancers keep a copy.
 */
import type { Address } from '../../shared/common/address.js';

/** Names of the placement policies that a service may choose. */
export const placementPolicyNames = ['random', 'maglev', 'least-reported', 'adaptive'] as const;

/** Name of a placement policy. */
export type PlacementPolicyName = (typeof placementPolicyNames)[number];

/** Limits of one service; balancers use their defaults for missing fields. */
export interface ServiceLimits {
  /** New flows per second across the whole cluster. */
  readonly opensPerSecond?: number | undefined;
  /** Maximum open flows per back end. */
  readonly connectionsPerBackend?: number | undefined;
}

/** A load-balanced service with one public address. */
export interface Service {
  /** From the owner's ID block; never reused. */
  readonly id: number;
  readonly name: string;
  /** Name of the owning operator. */
  readonly owner: string;
  /** Address to which callers send packets. */
  readonly address: Address;
  readonly policy: PlacementPolicyName;
  readonly limits: ServiceLimits;
  /** Starts at 1; incremented by every change to the service or its back ends. */
  readonly version: number;
}

/** Administrative state of a back end, set by its operator. */
export type BackendAdminState = 'active' | 'draining';

/** A back end of a service. */
export interface Backend {
  /** From the owner's ID block; never reused. */
  readonly id: number;
  readonly serviceId: number;
  /** UDP address for packets. */
  readonly address: Address;
  /** TCP address of its HTTP health and load endpoints. */
  readonly healthAddress: Address;
  readonly zone: string;
  readonly adminState: BackendAdminState;
}

/** A secret key that authenticates routing tokens. */
export interface TokenKey {
  /** 0 to 255. */
  readonly id: number;
  /** 16 bytes. */
  readonly secret: Uint8Array;
  /** `current` mints new tokens; `next` (not yet in use) and `previous` only verify them. */
  readonly state: 'next' | 'current' | 'previous';
}

/** The part of the replicated state that is sent to balancers; each map is keyed by ID. */
export interface RoutingConfig {
  readonly services: Map<number, Service>;
  readonly backends: Map<number, Backend>;
  readonly keys: Map<number, TokenKey>;
}

/**
 * @returns a configuration without services, back ends or keys
 */
export function emptyRoutingConfig(): RoutingConfig {
  return { services: new Map(), backends: new Map(), keys: new Map() };
}
