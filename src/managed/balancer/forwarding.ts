/**
 * @file Routes packets of established flows to the back end in their routing token, without per-flow state. This is the
 * hot path: packets are read in place and nothing but the result is allocated.
 */
import { err, ok, type Result } from 'neverthrow';
import { addressKey, type Address, type AddressKey } from '../../shared/common/address.js';
import type { Envelope } from '../flow/envelope.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import { SHORT_HEADER_ID_OFFSET } from '../flow/header.js';
import {
  hasValidMac,
  readBackendId,
  readKeyId,
  readServiceId,
  TOKEN_LENGTH_BYTES,
} from '../flow/token.js';
import type { BalancerState } from './balancer-state.js';
import { isBackendUsable } from './backend-identity.js';

const TOKEN_OFFSET = SHORT_HEADER_ID_OFFSET;
const MIN_PACKET_BYTES = TOKEN_OFFSET + TOKEN_LENGTH_BYTES;

const truncated = amberliftError(
  'malformed-datagram',
  'Short header or routing token is truncated.',
);
const unknownKey = amberliftError('unknown-key', 'The key ID of the token is unknown.');
const forgedToken = amberliftError('forged-token', 'The MAC of the token is invalid.');
const unknownService = amberliftError('unknown-service', 'No service has this address.');
const unknownBackend = amberliftError(
  'unknown-backend',
  'The back end ID of the token is unknown.',
);
const wrongService = amberliftError(
  'wrong-service',
  'Token, back end and destination address belong to different services.',
);
const leaseExpired = amberliftError(
  'lease-expired',
  'The lease has expired and the back end has not confirmed its identity recently.',
);

/**
 * Routes a packet of an established flow. Destination address, token and back end must belong to the same service.
 * @returns the back end's address, or the error to count
 */
export function routeEstablished(
  state: BalancerState,
  envelope: Envelope,
  nowMs: number,
): Result<Address, AmberliftError> {
  return routePacket(state, addressKey(envelope.service), envelope.packet, nowMs);
}

/**
 * Like `routeEstablished`, with the service's address as a key. The back end checks the token's incarnation, because a
 * balancer cannot determine which of two incarnations is newer.
 * @param packet a packet with a short header
 */
export function routePacket(
  state: BalancerState,
  serviceAddress: AddressKey,
  packet: Uint8Array,
  nowMs: number,
): Result<Address, AmberliftError> {
  if (packet.length < MIN_PACKET_BYTES) {
    return err(truncated);
  }
  const key = state.preparedKeys.get(readKeyId(packet, TOKEN_OFFSET));
  if (key === undefined) {
    return err(unknownKey);
  }
  if (!hasValidMac(packet, key, TOKEN_OFFSET)) {
    return err(forgedToken);
  }
  const service = state.servicesByAddress.get(serviceAddress);
  if (service === undefined) {
    return err(unknownService);
  }
  const view = state.views.get(readBackendId(packet, TOKEN_OFFSET));
  if (view === undefined) {
    return err(unknownBackend);
  }
  const { backend } = view;
  if (service.id !== readServiceId(packet, TOKEN_OFFSET) || backend.serviceId !== service.id) {
    return err(wrongService);
  }
  return isBackendUsable(state, view, nowMs) ? ok(backend.address) : err(leaseExpired);
}
