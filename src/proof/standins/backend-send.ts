/**
 * @file How a stand-in back end sends: directly to the fabric, or to the balancer that placed an open.
 */
import type { Address } from '../../shared/common/address.js';
import { encodeEnvelope } from '../../managed/flow/envelope.js';
import { encodeShortHeader } from '../../managed/flow/header.js';
import { encodeMessage, type Message } from '../../managed/flow/messages.js';
import type { BackendFlow, BackendState } from './backend-state.js';

/** Time after which a refused caller may come back (`retryAfterMs`), in milliseconds. */
export const RETRY_AFTER_MS = 200;

/** Sends a datagram. */
export interface BackendEffect {
  readonly type: 'send';
  readonly to: Address;
  readonly datagram: Uint8Array;
}

/**
 * @returns the effect that sends a message to the caller of a flow
 */
export function sendOnFlow(
  state: BackendState,
  flow: BackendFlow,
  message: Message,
): BackendEffect {
  return sendToClient(state, flow.client, flow.flowId, message);
}

/**
 * @returns the effect that sends a message to a caller by its flow ID
 */
export function sendToClient(
  state: BackendState,
  client: Address,
  flowId: Uint8Array,
  message: Message,
): BackendEffect {
  const packet = encodeShortHeader(flowId, encodeMessage(message));
  const { fabricAddress, serviceAddress } = state.options;
  const datagram = encodeEnvelope({ client, service: serviceAddress, packet });
  return { type: 'send', to: fabricAddress, datagram };
}
