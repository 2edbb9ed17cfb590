/**
 * @file Reads packets for the trace, without the product's decoders where these check more than the trace needs.
 */
import { Packr } from 'msgpackr';
import { formatAddress } from '../../shared/common/address.js';
import { decodeEnvelope } from '../../managed/flow/envelope.js';
import { hasLongHeader, parseLongHeader, parseShortHeader } from '../../managed/flow/header.js';
import { readToken, TOKEN_LENGTH_BYTES } from '../../managed/flow/token.js';
import type { Simulation } from './simulation.js';

const packr = new Packr({ useRecords: false });

/** What the trace shows of a packet. */
export interface PacketNote {
  readonly flowId: string;
  readonly message: string;
  readonly requestId?: number | undefined;
  readonly meantFor: string;
}

/**
 * @returns what the trace shows of a datagram in an envelope; undefined for another one
 */
export function readPacket(simulation: Simulation, datagram: Uint8Array): PacketNote | undefined {
  const envelope = decodeEnvelope(datagram);
  if (envelope.isErr()) {
    return undefined;
  }
  const { packet, service } = envelope.value;
  const parts = flowAndBody(packet);
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
 * @returns the service address that a datagram in an envelope is meant for; undefined for another one
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

/** Towards callers a short header names the flow ID, towards back ends the token, which names it. */
function flowAndBody(packet: Uint8Array): FlowAndBody | undefined {
  if (hasLongHeader(packet)) {
    return parseLongHeader(packet).match(
      ({ destinationId, sourceId, body }) => ({
        flowId: longHeaderFlow(destinationId, sourceId),
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

function longHeaderFlow(destinationId: Uint8Array, sourceId: Uint8Array): Uint8Array {
  const isReply = destinationId.length > 0 && destinationId.length < TOKEN_LENGTH_BYTES;
  return isReply ? destinationId : sourceId;
}

function readBody(body: Uint8Array): { type?: string; requestId?: number } {
  try {
    return (packr.unpack(body) ?? {}) as { type?: string; requestId?: number };
  } catch {
    // Packets that tests have damaged are in the trace too, without what could not be decoded.
    return {};
  }
}
