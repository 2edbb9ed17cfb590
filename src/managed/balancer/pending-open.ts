/**
 * @file An open that a balancer has admitted and that no back end has accepted yet: the only state that a balancer keeps
 * for a single flow. The table of pending opens is bounded by `maxPendingOpens`, and each entry ends by its deadline.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { Service } from '../control/routing-config.js';

/** An open that waits for a back end's answer. */
export interface PendingOpen {
  readonly key: string;
  readonly flowId: Uint8Array;
  readonly client: Address;
  readonly service: Service;
  /** Address in the fabric that takes the answer. */
  readonly replyTo: Address;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** IDs of the back ends tried, the present one last. */
  readonly triedBackendIds: number[];
  attemptEndsAtMs: number;
}

/**
 * @returns the key of the open in `pendingOpens`
 */
export function pendingKey(client: Address, flowId: Uint8Array): string {
  return `${formatAddress(client)}/${Buffer.from(flowId).toString('hex')}`;
}
