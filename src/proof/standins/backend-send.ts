/**
 * @file Sends the messages of a stand-in back end to callers through the fabric.
 */
import type { Address } from '../../shared/common/address.js';
import { encodeEnvelope } from '../../managed/flow/envelope.js';
import { encodeShortHeader } from '../../managed/flow/header.js';
import { encodeMessage, type Message } from '../../managed/flow/messages.js';
import type { BackendFlow, BackendState } from './backend-state.js';

/** Value of `retryAfterMs` in refusals. */
export const RETRY_AFTER_MS = 200;

/** A datagram to send. */
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
 * @returns the effect that sends a message to a caller, also without an open flow
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
