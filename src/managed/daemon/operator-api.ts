/**
 * @file The operator API, HTTP with JSON.
 *
 * `POST /v1/command` with `{commandId, command}` runs a command. `POST /v1/query` with `{query}` is a
 * linearizable read: it is answered after a quorum has confirmed the leader. Both require
 * `Authorization: Bearer TOKEN`.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { Address } from '../../shared/common/address.js';
import type { ClusterState, Operator, OwnerState } from '../control/cluster-state.js';
import { operatorTokenHash } from '../control/command-hash.js';
import {
  MAX_COMMAND_ID_LENGTH,
  operatorCommandSchema,
  type CommandEntry,
  type CommandOutcome,
} from '../control/commands.js';
import { operatorQuerySchema } from '../control/queries.js';
import { answerQuery } from '../control/views/answer-query.js';
import type { LoadView } from '../control/views/backend-load.js';
import { visibleOutcome } from '../control/views/entity-views.js';
import type { InForceView } from '../control/views/in-force.js';
import { amberliftError, answerFor, type AmberliftError } from '../../shared/common/error-kinds.js';
import { readJsonBody } from './http-json.js';
import { respondJson } from '../../shared/daemon/json-response.js';

const commandRequestSchema = z.strictObject({
  /** Printable and without spaces, so that it can be used as a word of a statement. */
  commandId: z
    .string()
    .max(MAX_COMMAND_ID_LENGTH)
    .regex(/^[!-~]+$/, 'printable characters without spaces'),
  command: operatorCommandSchema,
});
const queryRequestSchema = z.strictObject({ query: operatorQuerySchema });

/** The functions of the control machine that the API uses. */
interface OperatorApiOptions {
  readonly state: ClusterState;
  propose(entry: CommandEntry): Promise<CommandOutcome>;
  /** Resolves after a quorum has confirmed that the local state is current, or with an error. */
  confirmLeadership(): Promise<LeadershipConfirmation>;
  /** Configuration versions in force on the balancers. */
  inForce(): InForceView;
  /** Load of the back ends. */
  load(): LoadView;
}

/** Whether this machine may answer a query; `error` is absent if it may. */
export interface LeadershipConfirmation {
  readonly error?: AmberliftError;
  /** Operator address of the leader, if another machine leads. */
  readonly leader?: Address;
}

/**
 * @returns the request listener of the operator API
 */
export function operatorApi(options: OperatorApiOptions): RequestListener {
  return (incoming, response) => {
    handle(options, incoming, response).catch((cause: unknown) =>
      respondError(response, amberliftError('internal', String(cause))),
    );
  };
}

interface AuthenticatedOperator {
  readonly operator: Operator;
  readonly owner: OwnerState;
}

async function handle(
  options: OperatorApiOptions,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const authenticated = authenticate(options.state, incoming);
  if (authenticated.isErr()) {
    // A lagging machine may not have the operator yet; only a confirmed leader may answer `unauthorized`.
    const { error = authenticated.error, leader } = await options.confirmLeadership();
    respondError(response, error, leader);
    return;
  }
  const { operator, owner } = authenticated.value;
  if (incoming.method === 'POST' && incoming.url === '/v1/command') {
    await handleCommand(options, operator, incoming, response);
  } else if (incoming.method === 'POST' && incoming.url === '/v1/query') {
    await handleQuery(options, owner, incoming, response);
  } else {
    respondError(response, amberliftError('not-found', 'Unknown endpoint'));
  }
}

async function handleCommand(
  options: OperatorApiOptions,
  operator: Operator,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const request = (await readJsonBody(incoming)).andThen((body) =>
    parseRequest(commandRequestSchema, body),
  );
  if (request.isErr()) {
    respondError(response, request.error);
    return;
  }
  const outcome = await options.propose({ ...request.value, operator: operator.name });
  if (outcome.accepted) {
    respondJson(response, 200, visibleOutcome(outcome));
  } else {
    respondError(response, outcome.error, outcome.leader);
  }
}

async function handleQuery(
  options: OperatorApiOptions,
  owner: OwnerState,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const request = (await readJsonBody(incoming)).andThen((body) =>
    parseRequest(queryRequestSchema, body),
  );
  if (request.isErr()) {
    respondError(response, request.error);
    return;
  }
  const { error, leader } = await options.confirmLeadership();
  if (error !== undefined) {
    respondError(response, error, leader);
    return;
  }
  // A snapshot may have replaced the state in the meantime, so the owner is looked up again.
  const { state } = options;
  const source = {
    state,
    owner: state.owners.get(owner.name) ?? owner,
    inForce: options.inForce(),
    load: options.load(),
  };
  answerQuery(source, request.value.query).match(
    (result) => respondJson(response, 200, result),
    (failure) => respondError(response, failure),
  );
}

function parseRequest<Value>(
  schema: z.ZodType<Value>,
  body: unknown,
): Result<Value, AmberliftError> {
  const parsed = schema.safeParse(body);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const message = parsed.error.issues
    .map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
  return err(amberliftError('invalid-command', message));
}

function authenticate(
  state: ClusterState,
  incoming: IncomingMessage,
): Result<AuthenticatedOperator, AmberliftError> {
  const token = /^Bearer (.+)$/.exec(incoming.headers.authorization ?? '')?.[1] ?? '';
  const hash = operatorTokenHash(token);
  for (const operator of state.operators.values()) {
    const owner = state.owners.get(operator.name);
    if (operator.tokenHash === hash && owner !== undefined) {
      return ok({ operator, owner });
    }
  }
  return err(amberliftError('unauthorized', 'Missing or invalid operator token'));
}

/**
 * Sends an error response, with the leader's operator address if it is known.
 */
export function respondError(
  response: ServerResponse,
  error: AmberliftError,
  leader?: Address,
): void {
  respondJson(response, answerFor(error.kind).httpStatus, { error, leader });
}
