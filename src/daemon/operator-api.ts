/**
 * @file The operator interface: HTTP with JSON.
 *
 * `POST /v1/command` with `{commandId, command}` changes something; `GET /v1/show` tells what is
 * in force. Both need `Authorization: Bearer TOKEN`.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { Address } from '../common/address.js';
import type { ClusterState, Operator } from '../control/cluster-state.js';
import { operatorTokenHash } from '../control/command-hash.js';
import {
  operatorCommandSchema,
  type CommandEntry,
  type CommandOutcome,
} from '../control/commands.js';
import { amberliftError, answerFor, type AmberliftError } from '../flow/error-kinds.js';
import type { BalancerReport } from '../dissemination/subtree-report.js';
import { readBody, respondJson } from './http-json.js';

const MAX_COMMAND_ID_LENGTH = 128;
const commandRequestSchema = z.strictObject({
  commandId: z.string().min(1).max(MAX_COMMAND_ID_LENGTH),
  command: operatorCommandSchema,
});

/** What the interface needs of the control machine. */
export interface OperatorApiOptions {
  readonly state: ClusterState;
  propose(entry: CommandEntry): Promise<CommandOutcome>;
  /** Resolves once a quorum has confirmed that the state here is current, or with why it may not be. */
  query(): Promise<QueryAnswer>;
  /** What balancers reported last. */
  balancerReports(): readonly BalancerReport[];
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

async function handle(
  options: OperatorApiOptions,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const operator = authenticate(options.state, incoming);
  if (operator.isErr()) {
    respondError(response, operator.error);
    return;
  }
  if (incoming.method === 'POST' && incoming.url === '/v1/command') {
    await handleCommand(options, operator.value, incoming, response);
    return;
  }
  if (incoming.method === 'GET' && incoming.url === '/v1/show') {
    const { error, leader } = await options.query();
    if (error === undefined) {
      respondJson(response, 200, describeState(options, operator.value));
    } else {
      respondError(response, error, leader);
    }
    return;
  }
  respondError(response, amberliftError('not-found', 'There is no such page.'));
}

async function handleCommand(
  options: OperatorApiOptions,
  operator: Operator,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const request = (await readBody(incoming)).andThen(parseCommand);
  if (request.isErr()) {
    respondError(response, request.error);
    return;
  }
  const outcome = await options.propose({ ...request.value, operator: operator.name });
  if (outcome.accepted) {
    respondJson(response, 200, outcome);
  } else {
    respondError(response, outcome.error, outcome.leader);
  }
}

function parseCommand(body: unknown) {
  const parsed = commandRequestSchema.safeParse(body);
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
): Result<Operator, AmberliftError> {
  const token = /^Bearer (.+)$/.exec(incoming.headers.authorization ?? '')?.[1] ?? '';
  const hash = operatorTokenHash(token);
  for (const operator of state.operators.values()) {
    if (operator.tokenHash === hash) {
      return ok(operator);
    }
  }
  return err(amberliftError('unauthorized', 'The bearer token belongs to no operator.'));
}

/** An operator sees only the services that they own. */
function describeState(options: OperatorApiOptions, operator: Operator) {
  const { routing, index, term } = options.state;
  const services = [...routing.services.values()].filter(
    (service) => service.owner === operator.name,
  );
  const owned = new Set(services.map((service) => service.id));
  const reports = options.balancerReports();
  return {
    committed: { term, index },
    inForceEverywhere: Math.min(index, ...reports.map((report) => report.index)),
    balancers: reports,
    services,
    backends: [...routing.backends.values()].filter((backend) => owned.has(backend.serviceId)),
  };
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
