/** @file Helpers that decode packets and change them in transit. */
import {
  decodeEnvelope,
  encodeEnvelope,
  type Envelope,
} from '../../../src/managed/flow/envelope.js';
import {
  encodeShortHeader,
  FLOW_ID_LENGTH_BYTES,
  hasLongHeader,
  parseShortHeader,
} from '../../../src/managed/flow/header.js';
import { decodeMessage, encodeMessage, type Message } from '../../../src/managed/flow/messages.js';
import { TOKEN_LENGTH_BYTES } from '../../../src/managed/flow/token.js';

/** The envelope of a datagram; throws if it can't be decoded. */
export function openEnvelope(datagram: Uint8Array): Envelope {
  return decodeEnvelope(datagram)._unsafeUnwrap();
}

/** The datagram with a changed envelope. */
export function withEnvelope(
  datagram: Uint8Array,
  change: (envelope: Envelope) => Partial<Envelope>,
): Uint8Array {
  const envelope = openEnvelope(datagram);
  return encodeEnvelope({ ...envelope, ...change(envelope) });
}

/** A copy of the token of a packet to a back end; undefined if it has a long header. */
export function tokenOf(packet: Uint8Array): Buffer | undefined {
  if (hasLongHeader(packet)) {
    return undefined;
  }
  const { destinationId } = parseShortHeader(packet, TOKEN_LENGTH_BYTES)._unsafeUnwrap();
  return Buffer.from(destinationId);
}

/** The packet to a back end with another token. */
export function withToken(packet: Uint8Array, token: Uint8Array): Uint8Array {
  const { body } = parseShortHeader(packet, TOKEN_LENGTH_BYTES)._unsafeUnwrap();
  return encodeShortHeader(token, body);
}

/** The packet to a caller with a changed message; unchanged if it has a long header or can't be decoded. */
export function withMessageToCaller(
  packet: Uint8Array,
  change: (message: Message) => Message,
): Uint8Array {
  if (hasLongHeader(packet)) {
    return packet;
  }
  const { destinationId, body } = parseShortHeader(packet, FLOW_ID_LENGTH_BYTES)._unsafeUnwrap();
  return decodeMessage(body).match(
    (message) => encodeShortHeader(destinationId, encodeMessage(change(message))),
    () => packet,
  );
}

/** The message of a packet to a back end; undefined if it has a long header or can't be decoded. */
export function messageToBackend(packet: Uint8Array): Message | undefined {
  if (hasLongHeader(packet)) {
    return undefined;
  }
  const { body } = parseShortHeader(packet, TOKEN_LENGTH_BYTES)._unsafeUnwrap();
  return decodeMessage(body).unwrapOr(undefined);
}
