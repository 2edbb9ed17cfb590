/**
 * @file Options of a balancer and their defaults.
 */
import type { Address } from '../../shared/common/address.js';
import type { GossipOptions } from '../gossip/gossip-state.js';

/** Options of a balancer; times in milliseconds. */
export interface BalancerOptions {
  readonly balancerId: string;
  readonly zone: string;
  /** Maximum number of pending opens; further ones are refused as `overloaded`. Default 20,000. */
  readonly maxPendingOpens: number;
  /** Maximum rate of opens, split among owners. Default 20,000. */
  readonly maxOpensPerSecond: number;
  /** Timeout of an open at one back end. Default 200. */
  readonly openAttemptTimeoutMs: number;
  /** Maximum number of back ends that an open is sent to. Default 3. */
  readonly maxOpenAttempts: number;
  /** Interval between health probes of a back end. Default 500. */
  readonly probeIntervalMs: number;
  readonly controlAddresses: readonly Address[];
  readonly clusterKey: string;
  /** Absent if the balancer doesn't join the gossip membership; it then connects to control machines only. */
  readonly gossip?: Omit<GossipOptions, 'id' | 'zone'>;
}

/** Defaults for options that are not set; times in milliseconds. */
export const defaultBalancerOptions = {
  maxPendingOpens: 20_000,
  maxOpensPerSecond: 20_000,
  openAttemptTimeoutMs: 200,
  maxOpenAttempts: 3,
  probeIntervalMs: 500,
} as const;
