/**
 * @file The operators' client: sends commands to control machines, the same command ID again when an
 * answer is lost.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Address } from '../common/address.js';
import type { OperatorCommand } from '../control/commands.js';
import { sendJson, type JsonResponse } from '../daemon/http-json.js';
import { amberliftError, type AmberliftError } from '../flow/error-kinds.js';

const REQUEST_TIMEOUT_MS = 3_000;
const MAX_ATTEMPTS = 4;

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
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const to = controlAddresses[attempt % controlAddresses.length];
      if (to === undefined) {
        break;
      }
      const timeoutMs = REQUEST_TIMEOUT_MS;
      const response = await sendJson({ to, method, path, body, bearerToken, timeoutMs });
      if (response.isOk()) {
        return interpret(response.value);
      }
      lastError = response.error;
    }
    return err(lastError);
  }
}

function interpret(response: JsonResponse): Result<unknown, AmberliftError> {
  if (response.status === 200) {
    return ok(response.body);
  }
  const error = (response.body as { error?: AmberliftError } | undefined)?.error;
  return err(error ?? amberliftError('internal', `Status ${response.status} without a reason.`));
}
