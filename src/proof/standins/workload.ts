/**
 * @file Request payloads of stand-in callers and the deterministic answers to them, which let a caller
 * detect wrong or incomplete answers.
 */
import { Packr } from 'msgpackr';
import { z } from 'zod';
import { MAX_PAYLOAD_BYTES } from '../../managed/flow/messages.js';

const workSchema = z.strictObject({
  /** Name of the destination service. */
  service: z.string(),
  /** Unique across all requests of a run. */
  requestNumber: z.number().int().min(0),
  /** Length of the answer in bytes. */
  answerBytes: z.number().int().min(0),
});

/** Payload of a request. */
export type Work = z.infer<typeof workSchema>;

const packr = new Packr({ useRecords: false });
const BYTE_VALUES = 256;
const MIXING_FACTOR = 31;

/**
 * @returns the request payload in MessagePack
 */
export function encodeWork(work: Work): Buffer {
  return packr.pack(work);
}

/**
 * @returns the work, or undefined if the payload is invalid
 */
export function decodeWork(payload: Uint8Array): Work | undefined {
  try {
    return workSchema.safeParse(packr.unpack(payload)).data;
  } catch {
    // Invalid MessagePack is treated as an invalid payload.
    return undefined;
  }
}

/**
 * @returns the answer, split into one or more parts that each fit into a packet
 */
export function answerParts(work: Work): Uint8Array[] {
  const answer = new Uint8Array(work.answerBytes);
  for (let offset = 0; offset < answer.length; offset += 1) {
    answer[offset] = (work.requestNumber * MIXING_FACTOR + offset) % BYTE_VALUES;
  }
  const parts: Uint8Array[] = [];
  do {
    const start = parts.length * MAX_PAYLOAD_BYTES;
    parts.push(answer.subarray(start, start + MAX_PAYLOAD_BYTES));
  } while (parts.length * MAX_PAYLOAD_BYTES < answer.length);
  return parts;
}
