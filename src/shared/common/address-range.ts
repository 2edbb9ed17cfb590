/**
 * @file CIDR address ranges with an optional port range; operators are granted parts of the address space as such ranges.
 * Text form: `10.1.0.0/16` or `10.1.0.0/16:7000-7999`.
 */
import { isIP } from 'node:net';
import { MAX_PORT, type Address } from './address.js';

const IPV4_BITS = 32;
const IPV6_BITS = 128;
const IPV4_FAMILY = 4;
const BITS_PER_OCTET = 8n;
const BITS_PER_GROUP = 16n;
const IPV6_GROUPS = 8;

/** A range of hosts and ports; all bounds are inclusive. */
export interface AddressRange {
  /** IP version: 4 or 6. */
  readonly family: number;
  readonly lowHost: bigint;
  readonly highHost: bigint;
  readonly lowPort: number;
  readonly highPort: number;
}

/**
 * Parses an address range.
 * @param text `HOST/PREFIX` or `HOST/PREFIX:LOW_PORT-HIGH_PORT`
 * @returns the range, or undefined if the text is not a valid range
 */
export function parseAddressRange(text: string): AddressRange | undefined {
  const parts = /^\[?([0-9a-fA-F.:]+?)\]?\/(\d{1,3})(?::(\d{1,5})-(\d{1,5}))?$/.exec(text);
  const host = parts?.[1] ?? '';
  const family = isIP(host);
  if (parts === null || family === 0) {
    return undefined;
  }
  const bits = family === IPV4_FAMILY ? IPV4_BITS : IPV6_BITS;
  const prefixBits = Number(parts[2]);
  const lowPort = Number(parts[3] ?? 0);
  const highPort = Number(parts[4] ?? MAX_PORT);
  if (prefixBits > bits || highPort > MAX_PORT || lowPort > highPort) {
    return undefined;
  }
  const size = 1n << BigInt(bits - prefixBits);
  const number = hostNumber(host, family);
  const lowHost = number - (number % size);
  return { family, lowHost, highHost: lowHost + size - 1n, lowPort, highPort };
}

/**
 * @returns true if the range contains both the host and the port of the address
 */
export function rangeContains(range: AddressRange, address: Address): boolean {
  return (
    rangeContainsHost(range, address.host) &&
    address.port >= range.lowPort &&
    address.port <= range.highPort
  );
}

/**
 * @param host an IP address
 * @returns true if the range contains the host, on any port
 */
export function rangeContainsHost(range: AddressRange, host: string): boolean {
  const family = isIP(host);
  if (family !== range.family) {
    return false;
  }
  const number = hostNumber(host, family);
  return number >= range.lowHost && number <= range.highHost;
}

/**
 * @returns true if the ranges have at least one address in common
 */
export function rangesOverlap(one: AddressRange, other: AddressRange): boolean {
  return (
    one.family === other.family &&
    one.lowHost <= other.highHost &&
    other.lowHost <= one.highHost &&
    one.lowPort <= other.highPort &&
    other.lowPort <= one.highPort
  );
}

function hostNumber(host: string, family: number): bigint {
  return family === IPV4_FAMILY ? ipv4Number(host) : ipv6Number(host);
}

function ipv4Number(host: string): bigint {
  return host
    .split('.')
    .reduce((number, octet) => (number << BITS_PER_OCTET) | BigInt(Number(octet)), 0n);
}

function ipv6Number(host: string): bigint {
  const [head = '', tail] = expandDottedSuffix(host).split('::');
  const headGroups = head.split(':').filter((group) => group !== '');
  const tailGroups = (tail ?? '').split(':').filter((group) => group !== '');
  const zeros = Array<string>(IPV6_GROUPS - headGroups.length - tailGroups.length).fill('0');
  return [...headGroups, ...zeros, ...tailGroups].reduce(
    (number, group) => (number << BITS_PER_GROUP) | BigInt(`0x${group}`),
    0n,
  );
}

/** Rewrites an IPv6 address with an embedded IPv4 address: `::ffff:10.0.0.1` becomes `::ffff:a00:1`. */
function expandDottedSuffix(host: string): string {
  const dotted = /^(.*:)(\d+\.\d+\.\d+\.\d+)$/.exec(host);
  if (dotted === null) {
    return host;
  }
  const number = ipv4Number(dotted[2] ?? '');
  const mask = (1n << BITS_PER_GROUP) - 1n;
  return `${dotted[1] ?? ''}${(number >> BITS_PER_GROUP).toString(16)}:${(number & mask).toString(16)}`;
}
