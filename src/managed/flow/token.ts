/**
 * @file The routing token: a connection ID that lets any balancer route an established flow without state.
 * Layout in bytes, big endian: key ID 1, service ID 4, back end ID 4, back end incarnation 4, flow ID 8, MAC 8.
 * The MAC is SipHash-2-4 over all preceding bytes.
 */
import { KEYED_HASH_BYTES, keyedHash } from '../../shared/common/keyed-hash.js';
import { FLOW_ID_LENGTH_BYTES } from './header.js';

const KEY_ID_OFFSET = 0;
const SERVICE_ID_OFFSET = 1;
const BACKEND_ID_OFFSET = 5;
const INCARNATION_OFFSET = 9;
const FLOW_ID_OFFSET = 13;
const MAC_OFFSET = FLOW_ID_OFFSET + FLOW_ID_LENGTH_BYTES;
/** The MAC is the full SipHash-2-4 value, not truncated. */
const MAC_LENGTH_BYTES = 8;

/** Length of a routing token. */
export const TOKEN_LENGTH_BYTES = MAC_OFFSET + MAC_LENGTH_BYTES;
/** Length of a token key. */
export const TOKEN_KEY_LENGTH_BYTES = 16;
/** Maximum key ID; IDs are reused after 256 rotations. */
export const MAX_TOKEN_KEY_ID = 255;

/** Fields of a routing token, without the MAC. */
export interface TokenFields {
  readonly keyId: number;
  readonly serviceId: number;
  readonly backendId: number;
  /** Incarnation of the back end process, 32 bits. */
  readonly incarnation: number;
  /** The caller's flow ID, 8 bytes. */
  readonly flowId: Uint8Array;
}

/** A key in the form that the hash function expects. */
export type PreparedTokenKey = Uint8Array;

/** Reused output buffer for the hash; safe because steps run one at a time. */
const macBuffer = new Uint8Array(KEYED_HASH_BYTES);

/**
 * @param secret 16 bytes
 * @returns the key for `mintToken` and `hasValidMac`
 */
export function prepareTokenKey(secret: Uint8Array): PreparedTokenKey {
  return Uint8Array.from(secret.subarray(0, TOKEN_KEY_LENGTH_BYTES));
}

/**
 * @returns a token of `TOKEN_LENGTH_BYTES` with a valid MAC
 */
export function mintToken(fields: TokenFields, key: PreparedTokenKey): Buffer {
  const token = Buffer.alloc(TOKEN_LENGTH_BYTES);
  token.writeUInt8(fields.keyId, KEY_ID_OFFSET);
  token.writeUInt32BE(fields.serviceId, SERVICE_ID_OFFSET);
  token.writeUInt32BE(fields.backendId, BACKEND_ID_OFFSET);
  token.writeUInt32BE(fields.incarnation, INCARNATION_OFFSET);
  token.set(fields.flowId, FLOW_ID_OFFSET);
  token.set(keyedHash(key, token.subarray(0, MAC_OFFSET), macBuffer), MAC_OFFSET);
  return token;
}

/**
 * Reads a token without checking its MAC.
 * @param token `TOKEN_LENGTH_BYTES` bytes
 * @returns its fields; `flowId` is a view into the token
 */
export function readToken(token: Uint8Array): TokenFields {
  return {
    keyId: token[KEY_ID_OFFSET] ?? 0,
    serviceId: readUint32(token, SERVICE_ID_OFFSET),
    backendId: readUint32(token, BACKEND_ID_OFFSET),
    incarnation: readUint32(token, INCARNATION_OFFSET),
    flowId: token.subarray(FLOW_ID_OFFSET, MAC_OFFSET),
  };
}

/**
 * @param start offset of the token in `bytes`
 * @returns true if the MAC is valid for this key
 */
export function hasValidMac(bytes: Uint8Array, key: PreparedTokenKey, start = 0): boolean {
  const macStart = start + MAC_OFFSET;
  keyedHash(key, bytes.subarray(start, macStart), macBuffer);
  return (
    readUint32(bytes, macStart) === readUint32(macBuffer, 0) &&
    readUint32(bytes, macStart + 4) === readUint32(macBuffer, 4)
  );
}

/**
 * @param start offset of the token in `bytes`
 * @returns the key ID in the token
 */
export function readKeyId(bytes: Uint8Array, start: number): number {
  return bytes[start + KEY_ID_OFFSET] ?? 0;
}

/**
 * @param start offset of the token in `bytes`
 * @returns the service ID in the token
 */
export function readServiceId(bytes: Uint8Array, start: number): number {
  return readUint32(bytes, start + SERVICE_ID_OFFSET);
}

/**
 * @param start offset of the token in `bytes`
 * @returns the back end ID in the token
 */
export function readBackendId(bytes: Uint8Array, start: number): number {
  return readUint32(bytes, start + BACKEND_ID_OFFSET);
}

function readUint32(bytes: Uint8Array, offset: number): number {
  return (
    (((bytes[offset] ?? 0) << 24) |
      ((bytes[offset + 1] ?? 0) << 16) |
      ((bytes[offset + 2] ?? 0) << 8) |
      (bytes[offset + 3] ?? 0)) >>>
    0
  );
}
