/**
 * @file The client for declared configurations: declares one, or reads the one that holds, at whichever
 * control machine answers. Sent again, the same version is acknowledged again.
 */
import type { Result } from 'neverthrow';
import type { Address } from '../common/address.js';
import { sendJson } from '../daemon/http-json.js';
import type { DeclaredConfig } from '../declared/declared-config.js';
import { parseDeclaredConfig } from '../declared/parse-config.js';
import type { AmberliftError } from '../flow/error-kinds.js';
import {
  askInTurn,
  defaultRetryOptions,
  interpretAnswer,
  type RetryOptions,
} from './ask-in-turn.js';

const CONFIG_PATH = '/v1/config';

/** How to reach the group. */
export interface DeclaredClientOptions {
  /** Call addresses of control machines. */
  readonly controlAddresses: readonly Address[];
  readonly operatorToken: string | undefined;
  readonly retry?: RetryOptions;
}

/** Talks to a control group. */
export interface DeclaredClient {
  /**
   * @returns once the configuration holds or a higher version does; after `peer-unreachable` or
   *   `no-quorum` it may or may not hold
   */
  declare(config: DeclaredConfig): Promise<Result<void, AmberliftError>>;
  /** @returns the configuration that holds, confirmed by a quorum; `not-found` before the first one */
  read(): Promise<Result<DeclaredConfig, AmberliftError>>;
}

/**
 * @returns a client, which holds no connection
 */
export function createDeclaredClient(options: DeclaredClientOptions): DeclaredClient {
  const { controlAddresses, operatorToken, retry = defaultRetryOptions } = options;

  return { declare, read };

  async function declare(config: DeclaredConfig): Promise<Result<void, AmberliftError>> {
    const answer = await exchange('PUT', config);
    return answer.map(() => undefined);
  }

  async function read(): Promise<Result<DeclaredConfig, AmberliftError>> {
    const answer = await exchange('GET');
    return answer.andThen(parseDeclaredConfig);
  }

  function exchange(
    method: 'GET' | 'PUT',
    body?: DeclaredConfig,
  ): Promise<Result<unknown, AmberliftError>> {
    return askInTurn(controlAddresses, retry, async (to) => {
      const response = await sendJson({
        to,
        method,
        path: CONFIG_PATH,
        body,
        bearerToken: operatorToken,
        timeoutMs: retry.requestTimeoutMs,
      });
      return response.mapErr((error) => ({ error })).andThen(interpretAnswer);
    });
  }
}
