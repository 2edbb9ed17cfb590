/**
 * @file The operator interface: HTTP with JSON.
 *
 * `POST /v1/command` with `{commandId, command}` changes something; `POST /v1/query` with `{query}`
 * asks, and is answered only once a quorum has confirmed that the answer is current. Both need
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
import { readBody } from './http-json.js';
import { respondJson } from '../../shared/daemon/json-response.js';

const commandRequestSchema = z.strictObject({
  /** Printable, without spaces, so that a statement can name it. */
  commandId: z
    .string()
    .max(MAX_COMMAND_ID_LENGTH)
    .regex(/^[!-~]+$/, 'printable characters without spaces'),
  command: operatorCommandSchema,
});
const queryRequestSchema = z.strictObject({ query: operatorQuerySchema });

/** What the interface needs of the control machine. */
interface OperatorApiOptions {
  readonly state: ClusterState;
  propose(entry: CommandEntry): Promise<CommandOutcome>;
  /** Resolves once a quorum has confirmed that the state here is current, or with why it may not be. */
  query(): Promise<QueryAnswer>;
  /** What balancers have in force. */
  inForce(): InForceView;
  /** What back ends carry. */
  load(): LoadView;
}

/** Whether a question may be answered here. */
export interface QueryAnswer {
  readonly error?: AmberliftError;
  /** Operator address of the leader, where another machine leads. */
  readonly leader?: Address;
}

/**
 * @returns the request listener of the operator interface
 */
export function operatorApi(options: OperatorApiOptions): RequestListener {
  return (incoming, response) => {
    handle(options, incoming, response).catch((cause: unknown) =>
      respondError(response, amberliftError('internal', String(cause))),
    );
  };
}

/** An operator whose token was checked. */
interface Sender {
  readonly operator: Operator;
  readonly owner: OwnerState;
}

async function handle(
  options: OperatorApiOptions,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const sender = authenticate(options.state, incoming);
  if (sender.isErr()) {
    // A machine that lags may not know the operator yet; only a confirmed leader may say "unauthorized".
    const { error = sender.error, leader } = await options.query();
    respondError(response, error, leader);
    return;
  }
  const { operator, owner } = sender.value;
  if (incoming.method === 'POST' && incoming.url === '/v1/command') {
    await handleCommand(options, operator, incoming, response);
  } else if (incoming.method === 'POST' && incoming.url === '/v1/query') {
    await handleQuery(options, owner, incoming, response);
  } else {
    respondError(response, amberliftError('not-found', 'There is no such page.'));
  }
}

async function handleCommand(
  options: OperatorApiOptions,
  operator: Operator,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const request = (await readBody(incoming)).andThen((body) => parse(commandRequestSchema, body));
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
  const request = (await readBody(incoming)).andThen((body) => parse(queryRequestSchema, body));
  if (request.isErr()) {
    respondError(response, request.error);
    return;
  }
  const { error, leader } = await options.query();
  if (error !== undefined) {
    respondError(response, error, leader);
    return;
  }
  // The state may have been replaced by a snapshot's meanwhile; the owner is looked up anew.
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

function parse<Value>(schema: z.ZodType<Value>, body: unknown): Result<Value, AmberliftError> {
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
): Result<Sender, AmberliftError> {
  const token = /^Bearer (.+)$/.exec(incoming.headers.authorization ?? '')?.[1] ?? '';
  const hash = operatorTokenHash(token);
  for (const operator of state.operators.values()) {
    const owner = state.owners.get(operator.name);
    if (operator.tokenHash === hash && owner !== undefined) {
      return ok({ operator, owner });
    }
  }
  return err(amberliftError('unauthorized', 'The bearer token belongs to no operator.'));
}

/**
 * Answers with an error, and with the leader's operator address where it is known.
 */
export function respondError(
  response: ServerResponse,
  error: AmberliftError,
  leader?: Address,
): void {
  respondJson(response, answerFor(error.kind).httpStatus, { error, leader });
}
