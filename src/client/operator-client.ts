/**
 * @file The operators' client: sends commands and queries to control machines; asks the next machine
 * when an answer is lost, with the same command ID, and follows the leader's address.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { addressSchema } from '../common/address-schema.js';
import type { Address } from '../common/address.js';
import type { OperatorCommand } from '../control/commands.js';
import type { OperatorQuery } from '../control/queries.js';
import type { QueryResult, VisibleAcceptedOutcome } from '../control/views/view-types.js';
import { sendJson, type JsonResponse } from '../daemon/http-json.js';
import { amberliftError, answerFor, errorKinds, type AmberliftError } from '../flow/error-kinds.js';

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

/** How to reach the cluster. */
export interface OperatorClientOptions {
  readonly controlAddresses: readonly Address[];
  readonly bearerToken: string;
  /** Certificate of the authority that signed the control machines' (PEM); with it TLS is used. */
  readonly ca?: string | undefined;
  readonly retry?: RetryOptions;
}

/** What an accepted command gave. */
export type AcceptedCommand = VisibleAcceptedOutcome;

/** The answer to one type of query. */
export type QueryResultOf<Query extends OperatorQuery> = Extract<
  QueryResult,
  { readonly type: Query['type'] }
>;

const errorAnswerSchema = z.object({
  error: z.object({ kind: z.enum(errorKinds), message: z.string() }),
  /** Where the leader is, from a control machine that does not lead. */
  leader: addressSchema.optional(),
});

/** Talks to the operator interface. */
export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  /**
   * Sends a command; where no answer comes, the same ID again to the next control machine.
   * @returns the outcome. After `peer-unreachable`, `no-quorum` and the like the command may have been
   *   applied; sent again with the same ID it is applied once
   */
  async send(
    commandId: string,
    command: OperatorCommand,
  ): Promise<Result<AcceptedCommand, AmberliftError>> {
    const answer = await this.exchange('/v1/command', { commandId, command });
    return answer.map((body) => body as AcceptedCommand);
  }

  /** Asks; the answer was confirmed by a quorum. */
  async query<Query extends OperatorQuery>(
    query: Query,
  ): Promise<Result<QueryResultOf<Query>, AmberliftError>> {
    const answer = await this.exchange('/v1/query', { query });
    return answer.map((body) => body as QueryResultOf<Query>);
  }

  private async exchange(path: string, body: object): Promise<Result<unknown, AmberliftError>> {
    const { controlAddresses, retry = defaultRetryOptions } = this.options;
    let lastError = amberliftError('peer-unreachable', 'No control machine is known.');
    let leader: Address | undefined;
    for (let attempt = 0; attempt < retry.maxAttempts; attempt += 1) {
      const to = leader ?? controlAddresses[attempt % controlAddresses.length];
      if (to === undefined) {
        break;
      }
      const answer = await this.ask(to, path, body, retry.requestTimeoutMs);
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

  private async ask(
    to: Address,
    path: string,
    body: object,
    timeoutMs: number,
  ): Promise<Result<unknown, ErrorAnswer>> {
    const { bearerToken, ca } = this.options;
    const response = await sendJson({ to, method: 'POST', path, body, bearerToken, timeoutMs, ca });
    return response.mapErr((error) => ({ error })).andThen(interpret);
  }
}

type ErrorAnswer = z.infer<typeof errorAnswerSchema>;

function interpret(response: JsonResponse): Result<unknown, ErrorAnswer> {
  if (response.status === 200) {
    return ok(response.body);
  }
  const answer = errorAnswerSchema.safeParse(response.body);
  const unnamed = amberliftError('internal', `Status ${response.status} without a reason.`);
  return err(answer.success ? answer.data : { error: unnamed });
}
