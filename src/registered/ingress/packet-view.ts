/**
 * @file What the forwarding decisions need to know of a packet of a client, and the keys of its flow and its route. The
 * codec of a packet format gives this view; the packet itself is passed on unchanged but for its token.
 */

/** One packet of a client. */
export interface PacketView {
  /** IPv4 number of the client, as 32 bits. */
  readonly sourceHost: number;
  readonly sourcePort: number;
  /** IPv4 number that the client called, as 32 bits. */
  readonly destinationHost: number;
  readonly destinationPort: number;
  readonly isOpen: boolean;
  readonly isFinish: boolean;
  readonly isReset: boolean;
  /** Of an open: how many copies came before it; 0 for the first. */
  readonly copyNumber: number;
  /** The token that the client echoes; 0 for none. */
  readonly token: number;
  /** Position of the first data byte in the stream of the client, 32 bits. */
  readonly sequence: number;
  /** Position up to which the client has the back end's stream, 32 bits. */
  readonly acknowledged: number;
  /** Bytes of data. */
  readonly dataLength: number;
}

/** Names a route by host and port. */
export type RouteKey = number;

/** Names a flow by the addresses and ports of its two ends. */
export type FlowKey = string;

const PORT_VALUES = 65_536;

/** @returns the key of the flow of a packet */
export function flowKeyOf(packet: PacketView): FlowKey {
  const source = packet.sourceHost * PORT_VALUES + packet.sourcePort;
  const destination = routeKey(packet.destinationHost, packet.destinationPort);
  return `${source}>${destination}`;
}

/**
 * @param host IPv4 number as 32 bits
 * @returns the key of a route
 */
export function routeKey(host: number, port: number): RouteKey {
  return host * PORT_VALUES + port;
}
