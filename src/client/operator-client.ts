/**
 * @file The operators' client: sends commands to control machines, the same command ID again when an
 * answer is lost.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import type { Address } from '../common/address.js';
import type { OperatorCommand } from '../control/commands.js';
import { sendJson, type JsonResponse } from '../daemon/http-json.js';
import { amberliftError, answerFor, type AmberliftError } from '../flow/error-kinds.js';

const REQUEST_TIMEOUT_MS = 3_000;
const MAX_ATTEMPTS = 12;
/** Time before the next control machine is asked, in milliseconds; an election takes longer. */
const RETRY_DELAY_MS = 250;

/** How to reach the cluster. */
export interface OperatorClientOptions {
  readonly controlAddresses: readonly Address[];
  readonly bearerToken: string;
}

/** What an accepted command gave. */
export interface AcceptedCommand {
  readonly index: number;
  readonly version?: number;
  readonly serviceId?: number;
  readonly backendId?: number;
}

/** Talks to the operator interface. */
export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  /**
   * Sends a command; retries with the same ID on the next control machine when no answer comes.
   */
  async send(
    commandId: string,
    command: OperatorCommand,
  ): Promise<Result<AcceptedCommand, AmberliftError>> {
    const body = { commandId, command };
    return (await this.exchange('POST', '/v1/command', body)).map(
      (value) => value as AcceptedCommand,
    );
  }

  /**
   * Asks what is in force.
   */
  async show(): Promise<Result<unknown, AmberliftError>> {
    return this.exchange('GET', '/v1/show');
  }

  private async exchange(
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<Result<unknown, AmberliftError>> {
    const { controlAddresses, bearerToken } = this.options;
    let lastError = amberliftError('peer-unreachable', 'No control machine is known.');
    let leader: Address | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const to = leader ?? controlAddresses[attempt % controlAddresses.length];
      if (to === undefined) {
        break;
      }
      const timeoutMs = REQUEST_TIMEOUT_MS;
      const response = await sendJson({ to, method, path, body, bearerToken, timeoutMs });
      const answer: Answer = response.isOk()
        ? interpret(response.value)
        : { error: response.error };
      if (answer.error === undefined) {
        return ok(answer.body);
      }
      lastError = answer.error;
      if (!answerFor(lastError.kind).retryable) {
        break;
      }
      leader = answer.leader;
      if (leader === undefined) {
        await sleep(RETRY_DELAY_MS);
      }
    }
    return err(lastError);
  }
}

interface Answer {
  readonly body?: unknown;
  readonly error?: AmberliftError;
  /** Where the leader is, from a control machine that does not lead. */
  readonly leader?: Address | undefined;
}

function interpret(response: JsonResponse): Answer {
  if (response.status === 200) {
    return { body: response.body };
  }
  const { error, leader } = (response.body ?? {}) as Answer;
  const unnamed = amberliftError('internal', `Status ${response.status} without a reason.`);
  return { error: error ?? unnamed, leader };
}
