/**
 * @file Runs single statements against the cluster and formats their output.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { OperatorCommand } from '../../managed/control/commands.js';
import type { OperatorQuery } from '../../managed/control/queries.js';
import type { VisibleAcceptedOutcome } from '../../managed/control/views/view-types.js';
import { answerFor, exitCodes, type AmberliftError } from '../../shared/common/error-kinds.js';
import { describeStatementError, parseStatement } from '../../managed/language/parse-statement.js';
import type { OperatorClient } from './operator-client.js';
import { describeOutcome, formatResult } from './result-tables.js';

const WAIT_POLL_INTERVAL_MS = 100;

/** Client and output options of a statement. */
export interface RunnerOptions {
  readonly client: OperatorClient;
  /** Prints one JSON value per statement instead of text and tables. */
  readonly json: boolean;
  /** How long to wait until an accepted command is in force on all balancers; 0 to return at once. */
  readonly waitMs: number;
}

/** Output and exit code of a statement. */
export interface StatementOutput {
  /** Text for standard output, without a trailing line break. */
  readonly output: string;
  /** Text for standard error; empty on success. */
  readonly error: string;
  readonly exitCode: number;
}

/**
 * Runs a statement.
 * @param commandId used if the statement is a command
 */
export async function runStatement(
  options: RunnerOptions,
  text: string,
  commandId: string,
): Promise<StatementOutput> {
  const statement = parseStatement(text);
  if (statement.isErr()) {
    const errorText = describeStatementError(text, statement.error);
    const value = { error: { kind: 'invalid-command', ...statement.error } };
    return failed(options, exitCodes.usage, errorText, value);
  }
  return statement.value.kind === 'query'
    ? runQuery(options, statement.value.query)
    : runCommand(options, statement.value.command, commandId);
}

async function runQuery(options: RunnerOptions, query: OperatorQuery): Promise<StatementOutput> {
  const answer = await options.client.query(query);
  return answer.match(
    (result) => succeeded(options.json ? JSON.stringify(result) : formatResult(result)),
    (error) => failedWith(options, error, { error }),
  );
}

async function runCommand(
  options: RunnerOptions,
  command: OperatorCommand,
  commandId: string,
): Promise<StatementOutput> {
  const outcome = await options.client.send(commandId, command);
  if (outcome.isErr()) {
    const { error } = outcome;
    const hint = answerFor(error.kind).surelyNotRun
      ? ''
      : ` The command may have been applied; send it again with --command-id ${commandId}.`;
    return failedWith(options, error, { commandId, error }, hint);
  }
  if (options.waitMs === 0) {
    return succeeded(describeAccepted(options, commandId, outcome.value));
  }
  return waitUntilInForce(options, commandId, outcome.value);
}

/** Polls until the command is in force on every balancer, with at least one balancer present. */
async function waitUntilInForce(
  options: RunnerOptions,
  commandId: string,
  accepted: VisibleAcceptedOutcome,
): Promise<StatementOutput> {
  const deadlineMs = performance.now() + options.waitMs;
  let lagging: readonly string[] = [];
  while (performance.now() < deadlineMs) {
    const answer = await options.client.query({ type: 'in-force' });
    if (answer.isOk()) {
      lagging = answer.value.lagging
        .filter(({ revision }) => revision < accepted.revision)
        .map(({ balancerId }) => balancerId);
      const balancers = answer.value.balancerCount;
      if (lagging.length === 0 && balancers > 0 && answer.value.isComplete) {
        return succeeded(describeAccepted(options, commandId, accepted, balancers));
      }
    }
    await sleep(WAIT_POLL_INTERVAL_MS);
  }
  const text = describeAccepted(options, commandId, accepted);
  const names = lagging.length === 0 ? 'unknown' : lagging.join(', ');
  const errorText = `amberlift: timed out before the command was in force on all balancers; balancers that lag: ${names}.`;
  return { output: text, error: errorText, exitCode: exitCodes.unavailable };
}

function describeAccepted(
  options: RunnerOptions,
  commandId: string,
  accepted: VisibleAcceptedOutcome,
  inForceOnBalancers?: number,
): string {
  if (options.json) {
    return JSON.stringify({ commandId, ...accepted, inForceOnBalancers });
  }
  const inForce =
    inForceOnBalancers === undefined ? '' : ` In force on all ${inForceOnBalancers} balancers.`;
  return `${describeOutcome(accepted)}${inForce} Command ${commandId}.`;
}

function succeeded(output: string): StatementOutput {
  return { output, error: '', exitCode: exitCodes.success };
}

function failedWith(
  options: RunnerOptions,
  error: AmberliftError,
  value: object,
  hint = '',
): StatementOutput {
  const errorText = `amberlift: ${error.kind}: ${error.message}${hint}`;
  return failed(options, answerFor(error.kind).exitCode, errorText, value);
}

function failed(
  { json }: RunnerOptions,
  exitCode: number,
  errorText: string,
  value: object,
): StatementOutput {
  return json
    ? { output: JSON.stringify(value), error: '', exitCode }
    : { output: '', error: errorText, exitCode };
}
