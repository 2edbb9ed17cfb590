/**
 * @file Payload of notices in simulated runs, from which callers verify that a notice arrived
 * intact.
 */

/**
 * @returns the payload of notice `number` of a service
 */
export function noticePayload(service: string, number: number): Uint8Array {
  return Buffer.from(`notice ${number} of ${service}`);
}
