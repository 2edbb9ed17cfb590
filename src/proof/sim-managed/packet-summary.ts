/**
 * @file Extracts the fields of a packet that the trace records. Message bodies are unpacked without
 * validation, so that malformed packets are recorded, too.
 */
import { Packr } from 'msgpackr';
import { formatAddress } from '../../shared/common/address.js';
import { decodeEnvelope } from '../../managed/flow/envelope.js';
import { hasLongHeader, parseLongHeader, parseShortHeader } from '../../managed/flow/header.js';
import { readToken, TOKEN_LENGTH_BYTES } from '../../managed/flow/token.js';
import type { Simulation } from './simulation.js';

const packr = new Packr({ useRecords: false });

/** Fields of a packet that the trace records. */
export interface PacketSummary {
  readonly flowId: string;
  readonly message: string;
  readonly requestId?: number | undefined;
  readonly meantFor: string;
}

/**
 * @returns the fields that the trace records; undefined if the datagram has no valid envelope or
 *   packet header
 */
export function readPacket(
  simulation: Simulation,
  datagram: Uint8Array,
): PacketSummary | undefined {
  const envelope = decodeEnvelope(datagram);
  if (envelope.isErr()) {
    return undefined;
  }
  const { packet, service } = envelope.value;
  const parts = parseFlowAndBody(packet);
  if (parts === undefined) {
    return undefined;
  }
  const body = readBody(parts.body);
  return {
    flowId: simulation.flowName(Buffer.from(parts.flowId).toString('hex')),
    message: body.type ?? 'unreadable',
    ...(body.requestId !== undefined && { requestId: body.requestId }),
    meantFor: formatAddress(service),
  };
}

/**
 * @returns the destination service address in the envelope; undefined if the datagram has no valid
 *   envelope
 */
export function serviceOf(datagram: Uint8Array): string | undefined {
  return decodeEnvelope(datagram).match(
    ({ service }) => formatAddress(service),
    () => undefined,
  );
}

interface FlowAndBody {
  readonly flowId: Uint8Array;
  readonly body: Uint8Array;
}

/** Short headers towards back ends carry a token that contains the flow ID. */
function parseFlowAndBody(packet: Uint8Array): FlowAndBody | undefined {
  if (hasLongHeader(packet)) {
    return parseLongHeader(packet).match(
      ({ destinationId, sourceId, body }) => ({
        flowId: longHeaderFlowId(destinationId, sourceId),
        body,
      }),
      () => undefined,
    );
  }
  return parseShortHeader(packet, TOKEN_LENGTH_BYTES).match(
    ({ destinationId, body }) => ({ flowId: readToken(destinationId).flowId, body }),
    () => undefined,
  );
}

function longHeaderFlowId(destinationId: Uint8Array, sourceId: Uint8Array): Uint8Array {
  const isReply = destinationId.length > 0 && destinationId.length < TOKEN_LENGTH_BYTES;
  return isReply ? destinationId : sourceId;
}

function readBody(body: Uint8Array): { type?: string; requestId?: number } {
  try {
    return (packr.unpack(body) ?? {}) as { type?: string; requestId?: number };
  } catch {
    // Tests corrupt packets; the trace records these without the body fields.
    return {};
  }
}
