/**
 * @file Sends a request to control machines in turn until one answers, and follows the leader's address if a machine
 * returns it. Shared by both operator clients.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { addressSchema } from '../../shared/common/address-schema.js';
import type { Address } from '../../shared/common/address.js';
import type { JsonResponse } from '../../managed/daemon/http-json.js';
import {
  amberliftError,
  answerFor,
  errorKinds,
  type AmberliftError,
} from '../../shared/common/error-kinds.js';

/** Limits of the retries; times in milliseconds. */
export interface RetryOptions {
  readonly requestTimeoutMs: number;
  readonly maxAttempts: number;
  /** Delay before the next control machine is tried. */
  readonly retryDelayMs: number;
}

/** Enough attempts to outlast a leader election. */
export const defaultRetryOptions: RetryOptions = {
  requestTimeoutMs: 3_000,
  maxAttempts: 12,
  retryDelayMs: 250,
};

const errorResponseSchema = z.object({
  error: z.object({ kind: z.enum(errorKinds), message: z.string() }),
  /** Address of the leader, as reported by a follower. */
  leader: addressSchema.optional(),
});

/** Error returned by one control machine. */
export type ErrorResponse = z.infer<typeof errorResponseSchema>;

/**
 * @param send sends the request to one control machine
 * @returns the first successful response, or the error of the last attempt; a non-retryable error ends the loop
 */
export async function requestWithFailover(
  controlAddresses: readonly Address[],
  retry: RetryOptions,
  send: (to: Address) => Promise<Result<unknown, ErrorResponse>>,
): Promise<Result<unknown, AmberliftError>> {
  let lastError = amberliftError('peer-unreachable', 'No control machine address is configured.');
  let leader: Address | undefined;
  for (let attempt = 0; attempt < retry.maxAttempts; attempt += 1) {
    const to = leader ?? controlAddresses[attempt % controlAddresses.length];
    if (to === undefined) {
      break;
    }
    const answer = await send(to);
    if (answer.isOk()) {
      return ok(answer.value);
    }
    lastError = answer.error.error;
    if (!answerFor(lastError.kind).retryable) {
      break;
    }
    leader = answer.error.leader;
    if (leader === undefined) {
      await sleep(retry.retryDelayMs);
    }
  }
  return err(lastError);
}

/**
 * @returns the body of a response with status 200, or the error that the response carries
 */
export function parseResponse(response: JsonResponse): Result<unknown, ErrorResponse> {
  if (response.status === 200) {
    return ok(response.body);
  }
  const answer = errorResponseSchema.safeParse(response.body);
  const unknownError = amberliftError(
    'internal',
    `The control machine responded with status ${response.status} and no valid error body.`,
  );
  return err(answer.success ? answer.data : { error: unknownError });
}
