/**
 * @file Pending opens: admitted by the balancer and not yet accepted by a back end. They are the only per-flow state of
 * a balancer; their number is bounded by `maxPendingOpens`, their lifetime by the deadline.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { Service } from '../control/routing-config.js';

/** An open that waits for a back end's reply. */
export interface PendingOpen {
  readonly key: string;
  readonly flowId: Uint8Array;
  readonly client: Address;
  readonly service: Service;
  /** Fabric address for the reply. */
  readonly replyTo: Address;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** IDs of the back ends tried, the current one last. */
  readonly triedBackendIds: number[];
  attemptEndsAtMs: number;
}

/**
 * @returns the key of the open in `pendingOpens`
 */
export function pendingKey(client: Address, flowId: Uint8Array): string {
  return `${formatAddress(client)}/${Buffer.from(flowId).toString('hex')}`;
}
