/**
 * @file IP addresses with ports: text form, map keys and packed form.
 */
import { isIP } from 'node:net';

/** An IP address and a port. */
export interface Address {
  /** IPv4 or IPv6 address in text form; never a host name. */
  readonly host: string;
  /** 0 to 65535; with 0 the operating system chooses a free port when binding. */
  readonly port: number;
}

/** The highest port number. */
export const MAX_PORT = 65_535;

/**
 * @returns `host:port`, with IPv6 addresses in brackets; used as a map key and in logs
 */
export function formatAddress(address: Address): string {
  return address.host.includes(':')
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}

/**
 * @param text `host:port` or `[host]:port`
 * @returns the address, or undefined if the text is not a valid address
 */
export function parseAddress(text: string): Address | undefined {
  const parts = /^\[?([^\]]+?)\]?:(\d{1,5})$/.exec(text);
  const host = parts?.[1] ?? '';
  const port = Number(parts?.[2] ?? Number.NaN);
  if (isIP(host) === 0 || !(port <= MAX_PORT)) {
    return undefined;
  }
  return { host, port };
}

const DOT = 46;
const ZERO = 48;
const DECIMAL = 10;
const BYTE_VALUES = 256;
const PORT_VALUES = 65_536;

/**
 * Map key of an address: an integer for IPv4, the text form for IPv6. Different addresses have different keys.
 */
export type AddressKey = number | string;

/** Compact form of a host: an IPv4 address as a 32-bit integer, or an IPv6 address as text. */
export type PackedHost = number | string;

/**
 * @returns the map key of an address
 */
export function addressKey(address: Address): AddressKey {
  return packedAddressKey(packHost(address.host), address.port);
}

/**
 * @returns the map key of an address whose host is already packed
 */
export function packedAddressKey(host: PackedHost, port: number): AddressKey {
  return typeof host === 'number' ? host * PORT_VALUES + port : formatAddress({ host, port });
}

/**
 * @param host IPv4 or IPv6 address
 * @returns its packed form
 */
export function packHost(host: string): PackedHost {
  if (host.includes(':')) {
    return host;
  }
  let number = 0;
  let part = 0;
  for (let index = 0; index < host.length; index += 1) {
    const code = host.charCodeAt(index);
    if (code === DOT) {
      number = number * BYTE_VALUES + part;
      part = 0;
    } else {
      part = part * DECIMAL + code - ZERO;
    }
  }
  return number * BYTE_VALUES + part;
}

/**
 * @returns the IP address in text form
 */
export function unpackHost(host: PackedHost): string {
  if (typeof host === 'string') {
    return host;
  }
  return `${host >>> 24}.${(host >>> 16) & 255}.${(host >>> 8) & 255}.${host & 255}`;
}
