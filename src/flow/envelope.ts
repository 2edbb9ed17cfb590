/**
 * @file The envelope in which the fabric hands a packet over, with the caller's and the service's
 * addresses in front. A back end answers in the same envelope, directly to the fabric.
 */
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import type { Address } from '../common/address.js';
import { amberliftError, type AmberliftError } from './error-kinds.js';

/** A packet with the two ends of its flow. */
export interface Envelope {
  readonly client: Address;
  readonly service: Address;
  readonly packet: Uint8Array;
}

const packr = new Packr({ useRecords: false });
const FIELD_COUNT = 5;

/**
 * @returns the datagram that carries the envelope
 */
export function encodeEnvelope(envelope: Envelope): Buffer {
  const { client, service, packet } = envelope;
  return packr.pack([client.host, client.port, service.host, service.port, packet]);
}

/**
 * @returns the envelope, or `malformed-datagram`; never throws
 */
export function decodeEnvelope(datagram: Uint8Array): Result<Envelope, AmberliftError> {
  let fields: unknown;
  try {
    fields = packr.unpack(datagram);
  } catch {
    return err(amberliftError('malformed-datagram', 'Envelope is no MessagePack.'));
  }
  if (!Array.isArray(fields) || fields.length !== FIELD_COUNT) {
    return err(amberliftError('malformed-datagram', 'Envelope has not five fields.'));
  }
  const [clientHost, clientPort, serviceHost, servicePort, packet] = fields as unknown[];
  if (
    typeof clientHost !== 'string' ||
    typeof clientPort !== 'number' ||
    typeof serviceHost !== 'string' ||
    typeof servicePort !== 'number' ||
    !(packet instanceof Uint8Array)
  ) {
    return err(amberliftError('malformed-datagram', 'Envelope has a field of a wrong type.'));
  }
  return ok({
    client: { host: clientHost, port: clientPort },
    service: { host: serviceHost, port: servicePort },
    packet,
  });
}
