/**
 * @file Asks control machines one after the other until one answers: the next one where no answer comes or the machine can't answer now, the
 * leader where its address is given. Owns nothing; both clients rely on it.
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

/** How often and how long is tried; times in milliseconds. */
export interface RetryOptions {
  readonly requestTimeoutMs: number;
  readonly maxAttempts: number;
  /** Time before the next control machine is asked. */
  readonly retryDelayMs: number;
}

/** An election takes a few of these attempts. */
export const defaultRetryOptions: RetryOptions = {
  requestTimeoutMs: 3_000,
  maxAttempts: 12,
  retryDelayMs: 250,
};

const askErrorSchema = z.object({
  error: z.object({ kind: z.enum(errorKinds), message: z.string() }),
  /** Where the leader is, from a control machine that does not lead. */
  leader: addressSchema.optional(),
});

/** Why one control machine gave no answer. */
export type AskError = z.infer<typeof askErrorSchema>;

/**
 * @param ask asks one control machine
 * @returns the first answer, or the error of the last one asked; an error that the same question would
 *   meet again ends the search
 */
export async function askInTurn(
  controlAddresses: readonly Address[],
  retry: RetryOptions,
  ask: (to: Address) => Promise<Result<unknown, AskError>>,
): Promise<Result<unknown, AmberliftError>> {
  let lastError = amberliftError('peer-unreachable', 'No control machine is known.');
  let leader: Address | undefined;
  for (let attempt = 0; attempt < retry.maxAttempts; attempt += 1) {
    const to = leader ?? controlAddresses[attempt % controlAddresses.length];
    if (to === undefined) {
      break;
    }
    const answer = await ask(to);
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
 * @returns the body of a good response, or the error that another one names
 */
export function interpretAnswer(response: JsonResponse): Result<unknown, AskError> {
  if (response.status === 200) {
    return ok(response.body);
  }
  const answer = askErrorSchema.safeParse(response.body);
  const unnamed = amberliftError('internal', `Status ${response.status} without a reason.`);
  return err(answer.success ? answer.data : { error: unnamed });
}
