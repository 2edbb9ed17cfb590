/**
 * @file The packet header: the version-independent properties of QUIC (RFC 8999). Opens and their replies have long
 * headers. Other packets have short headers with the routing token or, towards a caller, the flow ID.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** The only supported version: "AMB1" in ASCII. */
const AMBERLIFT_VERSION = 0x414d4231;
/** Length of the flow ID, which the caller chooses. */
export const FLOW_ID_LENGTH_BYTES = 8;

const HEADER_FORM_LONG = 0x80;
const FIXED_BIT = 0x40;
const VERSION_OFFSET = 1;
const DESTINATION_LENGTH_OFFSET = 5;
/** Offset in bytes of the destination connection ID in a short-header packet. */
export const SHORT_HEADER_ID_OFFSET = 1;

/** A parsed long-header packet; the fields are views into the packet, not copies. */
interface LongHeaderPacket {
  readonly destinationId: Uint8Array;
  readonly sourceId: Uint8Array;
  readonly body: Uint8Array;
}

/** A parsed short-header packet; the fields are views into the packet, not copies. */
interface ShortHeaderPacket {
  readonly destinationId: Uint8Array;
  readonly body: Uint8Array;
}

/**
 * @returns true if the packet has a long header
 */
export function hasLongHeader(packet: Uint8Array): boolean {
  return ((packet[0] ?? 0) & HEADER_FORM_LONG) !== 0;
}

/**
 * @returns the bytes of a long-header packet
 */
export function encodeLongHeader(
  destinationId: Uint8Array,
  sourceId: Uint8Array,
  body: Uint8Array,
): Buffer {
  const prefix = Buffer.alloc(DESTINATION_LENGTH_OFFSET);
  prefix[0] = HEADER_FORM_LONG | FIXED_BIT;
  prefix.writeUInt32BE(AMBERLIFT_VERSION, VERSION_OFFSET);
  return Buffer.concat([
    prefix,
    Buffer.of(destinationId.length),
    destinationId,
    Buffer.of(sourceId.length),
    sourceId,
    body,
  ]);
}

/**
 * @returns the bytes of a short-header packet
 */
export function encodeShortHeader(destinationId: Uint8Array, body: Uint8Array): Buffer {
  return Buffer.concat([Buffer.of(FIXED_BIT), destinationId, body]);
}

/**
 * @param packet a packet with a long header
 * @returns its parts, or `malformed-datagram` / `unsupported-version`
 */
export function parseLongHeader(packet: Uint8Array): Result<LongHeaderPacket, AmberliftError> {
  const destinationLength = packet[DESTINATION_LENGTH_OFFSET];
  if (destinationLength === undefined) {
    return err(amberliftError('malformed-datagram', 'Long header is truncated.'));
  }
  const version = new DataView(packet.buffer, packet.byteOffset).getUint32(VERSION_OFFSET);
  if (version !== AMBERLIFT_VERSION) {
    return err(amberliftError('unsupported-version', `Version ${version} is not supported.`));
  }
  const destinationStart = DESTINATION_LENGTH_OFFSET + 1;
  const sourceLengthOffset = destinationStart + destinationLength;
  const sourceLength = packet[sourceLengthOffset];
  if (sourceLength === undefined) {
    return err(amberliftError('malformed-datagram', 'Destination connection ID is truncated.'));
  }
  const sourceStart = sourceLengthOffset + 1;
  const bodyStart = sourceStart + sourceLength;
  if (bodyStart > packet.length) {
    return err(amberliftError('malformed-datagram', 'Source connection ID is truncated.'));
  }
  return ok({
    destinationId: packet.subarray(destinationStart, sourceLengthOffset),
    sourceId: packet.subarray(sourceStart, bodyStart),
    body: packet.subarray(bodyStart),
  });
}

/**
 * @param packet a packet with a short header
 * @param destinationIdLength length in bytes, which the packet does not contain
 * @returns its parts, or `malformed-datagram`
 */
export function parseShortHeader(
  packet: Uint8Array,
  destinationIdLength: number,
): Result<ShortHeaderPacket, AmberliftError> {
  const bodyStart = SHORT_HEADER_ID_OFFSET + destinationIdLength;
  if (packet.length < bodyStart) {
    return err(amberliftError('malformed-datagram', 'Short header is truncated.'));
  }
  return ok({
    destinationId: packet.subarray(SHORT_HEADER_ID_OFFSET, bodyStart),
    body: packet.subarray(bodyStart),
  });
}
