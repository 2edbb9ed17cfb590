/**
 * @file Where does a packet of an established flow go? To the back end that its routing token names, where the key is in
 * force, the MAC is valid, and token, destination address and back end belong to one service; without a lease only to a back
 * end that confirmed its identity a moment ago (`backend-identity.ts`). Anything else is dropped and counted by error kind.
 *
 * Inputs: the packet, its destination address, and the configuration in force; nothing is kept per flow. This is the hot
 * path: it reads the packet in place and allocates nothing but its result.
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

const TOKEN_START = SHORT_HEADER_ID_OFFSET;
const MIN_PACKET_BYTES = TOKEN_START + TOKEN_LENGTH_BYTES;

const truncated = amberliftError('malformed-datagram', 'Short header is cut short.');
const unknownKey = amberliftError('unknown-key', 'The token names no known key.');
const forged = amberliftError('forged-token', 'The token was not made with its key.');
const unknownService = amberliftError('unknown-service', 'No service has this address.');
const unknownBackend = amberliftError('unknown-backend', 'The token names no known back end.');
const wrongService = amberliftError('wrong-service', 'The token belongs to another service.');
const leaseExpired = amberliftError(
  'lease-expired',
  'The back end may have another one at its address.',
);

/**
 * Finds where a packet of an established flow goes. The destination service must be the one that
 * the token names and that owns the back end, so that no packet reaches another service.
 * @returns the back end's address, or the error kind to count
 */
export function routeEstablished(
  state: BalancerState,
  envelope: Envelope,
  nowMs: number,
): Result<Address, AmberliftError> {
  return routePacket(state, addressKey(envelope.service), envelope.packet, nowMs);
}

/**
 * Like `routeEstablished`, with the service's address as a key.
 *
 * The token's incarnation is left to the back end: of two incarnations a balancer can't know which is the later one, and
 * a peer may know a newer one than this balancer's own probes returned.
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
  const key = state.preparedKeys.get(readKeyId(packet, TOKEN_START));
  if (key === undefined) {
    return err(unknownKey);
  }
  if (!hasValidMac(packet, key, TOKEN_START)) {
    return err(forged);
  }
  const service = state.servicesByAddress.get(serviceAddress);
  if (service === undefined) {
    return err(unknownService);
  }
  const view = state.views.get(readBackendId(packet, TOKEN_START));
  if (view === undefined) {
    return err(unknownBackend);
  }
  const { backend } = view;
  if (service.id !== readServiceId(packet, TOKEN_START) || backend.serviceId !== service.id) {
    return err(wrongService);
  }
  return isBackendUsable(state, view, nowMs) ? ok(backend.address) : err(leaseExpired);
}
