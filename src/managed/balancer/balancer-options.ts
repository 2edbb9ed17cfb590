/**
 * @file Options of a balancer, and the values that apply where the settings give none.
 */
import type { Address } from '../../shared/common/address.js';
import type { GossipOptions } from '../gossip/gossip-state.js';

/** Options of a balancer; times in milliseconds. */
export interface BalancerOptions {
  readonly balancerId: string;
  readonly zone: string;
  /** Bound of the open table; opens beyond it are refused as `overloaded`. Default 20,000. */
  readonly maxPendingOpens: number;
  /** Opens a second that the balancer takes, shared among owners. Default 20,000. */
  readonly maxOpensPerSecond: number;
  /** How long one back end may take to answer an open. Default 200. */
  readonly openAttemptTimeoutMs: number;
  /** How many back ends an open is tried on. Default 3. */
  readonly maxOpenAttempts: number;
  /** Time between two health probes of a back end. Default 500. */
  readonly probeIntervalMs: number;
  readonly controlAddresses: readonly Address[];
  readonly clusterKey: string;
  /** Absent where the balancer takes no part in membership; then it links to control machines only. */
  readonly gossip?: Omit<GossipOptions, 'id' | 'zone'>;
}

/** Options that apply where settings give none. */
export const defaultBalancerOptions = {
  maxPendingOpens: 20_000,
  maxOpensPerSecond: 20_000,
  openAttemptTimeoutMs: 200,
  maxOpenAttempts: 3,
  probeIntervalMs: 500,
} as const;
