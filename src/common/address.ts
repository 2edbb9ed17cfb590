/**
 * @file IP addresses with ports, and their text form.
 */
import { isIP } from 'node:net';
import { z } from 'zod';

/** An IP number and a port. */
export interface Address {
  /** IPv4 or IPv6 number; never a host name. */
  readonly host: string;
  /** Port, 0 to 65535; 0 asks the operating system for a free one. */
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Schema of an address, for settings, commands and messages. */
export const addressSchema = z.strictObject({
  host: z.string().refine((text) => isIP(text) !== 0, 'an IP number such as 127.0.0.1'),
  port: z.number().int().min(0).max(MAX_PORT),
});

/**
 * @returns `host:port`, with IPv6 numbers in brackets; used as a map key and in logs
 */
export function formatAddress(address: Address): string {
  return address.host.includes(':')
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}

/**
 * @param text `host:port` or `[host]:port`
 * @returns the address, or undefined where the text is not one
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
