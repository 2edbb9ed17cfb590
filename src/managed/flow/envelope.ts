/**
 * @file The envelope of packets between fabric, balancers and back ends. It adds the addresses of caller and service. Back
 * ends reply in the same envelope, directly to the fabric.
 */
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import {
  packHost,
  unpackHost,
  type Address,
  type PackedHost,
} from '../../shared/common/address.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** A packet with the endpoints of its flow. */
export interface Envelope {
  readonly client: Address;
  readonly service: Address;
  readonly packet: Uint8Array;
}

/** A decoded envelope with hosts in packed form, as used on the hot path. */
interface PackedEnvelope {
  readonly clientHost: PackedHost;
  readonly clientPort: number;
  readonly serviceHost: PackedHost;
  readonly servicePort: number;
  readonly packet: Uint8Array;
}

const packr = new Packr({ useRecords: false, copyBuffers: false });
const FIELD_COUNT = 5;
const MAX_IPV4_HOST = 0xffff_ffff;
const MAX_PORT = 65_535;

/**
 * @returns the datagram that carries the envelope
 */
export function encodeEnvelope(envelope: Envelope): Buffer {
  const { client, service, packet } = envelope;
  const clientHost = packHost(client.host);
  return packr.pack([clientHost, client.port, packHost(service.host), service.port, packet]);
}

/**
 * @returns the envelope, or `malformed-datagram`; never throws
 */
export function decodeEnvelope(datagram: Uint8Array): Result<Envelope, AmberliftError> {
  return unpackEnvelope(datagram).map(toEnvelope);
}

/**
 * @returns the envelope with host addresses as text
 */
export function toEnvelope(packed: PackedEnvelope): Envelope {
  const { clientHost, clientPort, serviceHost, servicePort, packet } = packed;
  return {
    client: { host: unpackHost(clientHost), port: clientPort },
    service: { host: unpackHost(serviceHost), port: servicePort },
    packet,
  };
}

/**
 * @returns the envelope with its packet as a view into the datagram, or `malformed-datagram`; never
 *   throws
 */
export function unpackEnvelope(datagram: Uint8Array): Result<PackedEnvelope, AmberliftError> {
  let fields: unknown;
  try {
    fields = packr.unpack(datagram);
  } catch {
    // The decoder throws for invalid MessagePack; the caller counts the error.
    return err(amberliftError('malformed-datagram', 'Envelope is not valid MessagePack.'));
  }
  if (!Array.isArray(fields) || fields.length !== FIELD_COUNT) {
    return err(amberliftError('malformed-datagram', 'Envelope is not an array of five fields.'));
  }
  const [clientHost, clientPort, serviceHost, servicePort, packet] = fields as unknown[];
  if (
    !isHost(clientHost) ||
    !isPort(clientPort) ||
    !isHost(serviceHost) ||
    !isPort(servicePort) ||
    !(packet instanceof Uint8Array)
  ) {
    return err(
      amberliftError('malformed-datagram', 'Envelope has an invalid address, port or packet.'),
    );
  }
  return ok({ clientHost, clientPort, serviceHost, servicePort, packet });
}

function isHost(value: unknown): value is PackedHost {
  if (typeof value === 'number') {
    return value >= 0 && value <= MAX_IPV4_HOST && Number.isInteger(value);
  }
  return typeof value === 'string' && value.includes(':');
}

function isPort(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_PORT && Number.isInteger(value);
}
