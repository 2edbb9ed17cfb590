/**
 * @file Fields of a client packet that forwarding decisions use, and the keys of its flow and route. Independent of the
 * packet format.
 */

/** A client packet, as read by a codec. */
export interface PacketView {
  /** IPv4 address of the client, as a 32-bit integer. */
  readonly sourceHost: number;
  readonly sourcePort: number;
  /** IPv4 address that the client connects to, as a 32-bit integer. */
  readonly destinationHost: number;
  readonly destinationPort: number;
  readonly isOpen: boolean;
  readonly isFinish: boolean;
  readonly isReset: boolean;
  /** Retransmission count of an open; 0 for the first copy. */
  readonly copyNumber: number;
  /** Token echoed by the client; 0 for none. */
  readonly token: number;
  /** Sequence number of the first data byte, 32 bits. */
  readonly sequence: number;
  /** Acknowledgement number: next sequence number expected from the back end, 32 bits. */
  readonly acknowledged: number;
  /** In bytes. */
  readonly dataLength: number;
}

/** Identifies a route: host and port as one number. */
export type RouteKey = number;

/** Identifies a flow by the addresses and ports of both ends. */
export type FlowKey = string;

const PORT_VALUES = 65_536;

/** @returns the flow key of a packet */
export function flowKeyOf(packet: PacketView): FlowKey {
  const source = packet.sourceHost * PORT_VALUES + packet.sourcePort;
  const destination = routeKey(packet.destinationHost, packet.destinationPort);
  return `${source}>${destination}`;
}

/** @param host IPv4 address as a 32-bit integer */
export function routeKey(host: number, port: number): RouteKey {
  return host * PORT_VALUES + port;
}
