/**
 * @file The hot path: from a packet of an established flow to its back end, by the routing token
 * alone.
 */
import { err, ok, type Result } from 'neverthrow';
import { formatAddress, type Address } from '../common/address.js';
import type { Envelope } from '../flow/envelope.js';
import { amberliftError, type AmberliftError } from '../flow/error-kinds.js';
import { parseShortHeader } from '../flow/header.js';
import { hasValidMac, readToken, TOKEN_LENGTH_BYTES } from '../flow/token.js';
import { isBackendUsable, type BalancerState } from './balancer-state.js';

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
  const packet = parseShortHeader(envelope.packet, TOKEN_LENGTH_BYTES);
  if (packet.isErr()) {
    return err(packet.error);
  }
  const token = packet.value.destinationId;
  const fields = readToken(token);
  const key = state.preparedKeys.get(fields.keyId);
  if (key === undefined) {
    return err(amberliftError('unknown-key', 'The token names no known key.'));
  }
  if (!hasValidMac(token, key)) {
    return err(amberliftError('forged-token', 'The token was not made with its key.'));
  }
  const service = state.servicesByAddress.get(formatAddress(envelope.service));
  if (service === undefined) {
    return err(amberliftError('unknown-service', 'No service has this address.'));
  }
  const view = state.views.get(fields.backendId);
  const backend = view?.backend;
  if (view === undefined || backend === undefined) {
    return err(amberliftError('unknown-backend', 'The token names no known back end.'));
  }
  if (service.id !== fields.serviceId || backend.serviceId !== service.id) {
    return err(amberliftError('wrong-service', 'The token belongs to another service.'));
  }
  if (!isBackendUsable(state, view, nowMs)) {
    return err(
      amberliftError('lease-expired', 'The back end may have another one at its address.'),
    );
  }
  return ok(backend.address);
}
