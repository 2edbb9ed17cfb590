/**
 * @file The payload of a notice in a simulated run, by which callers recognise the right one.
 */

/**
 * @returns the bytes of a service's notice
 */
export function noticePayload(service: string, number: number): Uint8Array {
  return Buffer.from(`notice ${number} of ${service}`);
}
