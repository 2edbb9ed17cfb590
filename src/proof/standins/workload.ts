/**
 * @file The work that stand-in callers ask of stand-in back ends: its payload, and the answer that a
 * caller expects, so that a wrong, mixed or incomplete answer is noticed.
 */
import { Packr } from 'msgpackr';
import { z } from 'zod';
import { MAX_PAYLOAD_BYTES } from '../../managed/flow/messages.js';

const workSchema = z.strictObject({
  /** Name of the service that the request is meant for. */
  service: z.string(),
  /** Unique among all requests of a run. */
  requestNumber: z.number().int().min(0),
  /** Length of the answer in bytes. */
  answerBytes: z.number().int().min(0),
});

/** One piece of work. */
export type Work = z.infer<typeof workSchema>;

const packr = new Packr({ useRecords: false });
const BYTE_VALUES = 256;
const MIXING_FACTOR = 31;

/**
 * @returns the payload of a request
 */
export function encodeWork(work: Work): Buffer {
  return packr.pack(work);
}

/**
 * @returns the work, or undefined where the payload is none
 */
export function decodeWork(payload: Uint8Array): Work | undefined {
  try {
    return workSchema.safeParse(packr.unpack(payload)).data;
  } catch {
    // Bytes that are no msgpack come from another sender, and are no work: the caller refuses them.
    return undefined;
  }
}

/**
 * @returns the answer to a piece of work, in parts that fit a packet; at least one part
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
