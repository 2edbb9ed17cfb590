/**
 * @file The operators' client: sends commands and queries to control machines; asks the next machine
 * when an answer is lost, with the same command ID, and follows the leader's address.
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
  askInTurn,
  defaultRetryOptions,
  interpretAnswer,
  type AskError,
  type RetryOptions,
} from './ask-in-turn.js';

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

  private exchange(path: string, body: object): Promise<Result<unknown, AmberliftError>> {
    const { controlAddresses, retry = defaultRetryOptions } = this.options;
    return askInTurn(controlAddresses, retry, (to) =>
      this.ask(to, path, body, retry.requestTimeoutMs),
    );
  }

  private async ask(
    to: Address,
    path: string,
    body: object,
    timeoutMs: number,
  ): Promise<Result<unknown, AskError>> {
    const { bearerToken, ca } = this.options;
    const response = await sendJson({ to, method: 'POST', path, body, bearerToken, timeoutMs, ca });
    return response.mapErr((error) => ({ error })).andThen(interpretAnswer);
  }
}
