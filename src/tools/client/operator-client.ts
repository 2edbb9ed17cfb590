/**
 * @file Operator client: sends commands and queries to control machines. Retries reuse the command ID, so that a
 * command is applied at most once.
 */
import type { Result } from 'neverthrow';
import type { Address } from '../../shared/common/address.js';
import type { OperatorCommand } from '../../managed/control/commands.js';
import type { OperatorQuery } from '../../managed/control/queries.js';
import type {
  QueryResult,
  VisibleAcceptedOutcome,
} from '../../managed/control/views/view-types.js';
import { sendJson } from '../../managed/daemon/http-json.js';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import {
  requestWithFailover,
  defaultRetryOptions,
  parseResponse,
  type ErrorResponse,
  type RetryOptions,
} from './request-with-failover.js';

/** Addresses and credentials of the cluster. */
export interface OperatorClientOptions {
  readonly controlAddresses: readonly Address[];
  readonly bearerToken: string;
  /** CA certificate of the control machines (PEM); enables TLS. */
  readonly ca?: string | undefined;
  readonly retry?: RetryOptions;
}

/** Outcome of an accepted command. */
export type AcceptedCommand = VisibleAcceptedOutcome;

/** Result type of one type of query. */
export type QueryResultOf<Query extends OperatorQuery> = Extract<
  QueryResult,
  { readonly type: Query['type'] }
>;

/** Client of the operator interface. */
export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  /**
   * Sends a command, and retries it under the same ID at the next control machine.
   * @returns the outcome; after a retryable error, such as `peer-unreachable` or `no-quorum`, the command may
   *   have been applied, and can safely be sent again under the same ID
   */
  async send(
    commandId: string,
    command: OperatorCommand,
  ): Promise<Result<AcceptedCommand, AmberliftError>> {
    const answer = await this.exchange('/v1/command', { commandId, command });
    return answer.map((body) => body as AcceptedCommand);
  }

  /** Runs a query; the result is confirmed by a quorum. */
  async query<Query extends OperatorQuery>(
    query: Query,
  ): Promise<Result<QueryResultOf<Query>, AmberliftError>> {
    const answer = await this.exchange('/v1/query', { query });
    return answer.map((body) => body as QueryResultOf<Query>);
  }

  private exchange(path: string, body: object): Promise<Result<unknown, AmberliftError>> {
    const { controlAddresses, retry = defaultRetryOptions } = this.options;
    return requestWithFailover(controlAddresses, retry, (to) =>
      this.sendTo(to, path, body, retry.requestTimeoutMs),
    );
  }

  private async sendTo(
    to: Address,
    path: string,
    body: object,
    timeoutMs: number,
  ): Promise<Result<unknown, ErrorResponse>> {
    const { bearerToken, ca } = this.options;
    const response = await sendJson({ to, method: 'POST', path, body, bearerToken, timeoutMs, ca });
    return response.mapErr((error) => ({ error })).andThen(parseResponse);
  }
}
