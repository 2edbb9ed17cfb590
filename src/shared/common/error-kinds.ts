/**
 * @file All error kinds, and for each the response to the caller, the HTTP status, the exit code of a command, and whether
 * the request is known not to have run.
 */
import { match } from 'ts-pattern';

/** All error kinds of the system. */
export const errorKinds = [
  // Datagrams.
  'malformed-datagram',
  'unsupported-version',
  'unknown-service',
  'wrong-service',
  'unknown-key',
  'forged-token',
  'unknown-backend',
  'lease-expired',
  'stale-incarnation',
  'unknown-flow',
  // Opens and requests.
  'no-backend-ready',
  'overloaded',
  'rate-limited',
  'backend-refused',
  'backend-draining',
  'balancer-stopping',
  'deadline-exceeded',
  'cancelled',
  'notices-gone',
  'outcome-unknown',
  // Operators and control.
  'invalid-command',
  'unauthorized',
  'not-found',
  'conflict',
  'command-id-reused',
  'command-expired',
  'not-leader',
  'no-quorum',
  'wrong-cluster',
  // Processes.
  'invalid-settings',
  'storage-failed',
  'peer-unreachable',
  'internal',
] as const;

/** One kind of error. */
export type ErrorKind = (typeof errorKinds)[number];

/** Response to a caller: none, a refusal of the open or request, or a close of the flow. */
export type CallerAnswer = 'drop' | 'refuse' | 'close';

/** How an error of one kind is reported. */
export interface ErrorAnswer {
  readonly callerAnswer: CallerAnswer;
  /** True if the open or request is known not to have run, so that this may be reported to the caller. */
  readonly surelyNotRun: boolean;
  /** True if the same request may succeed when it is repeated later. */
  readonly retryable: boolean;
  /** HTTP status of the operator API. */
  readonly httpStatus: number;
  /** Exit code of a command that ends with this error. */
  readonly exitCode: number;
}

/** Exit codes of all commands. */
export const exitCodes = {
  success: 0,
  failure: 1,
  usage: 2,
  settings: 3,
  refused: 4,
  unavailable: 5,
  storage: 6,
} as const;

function dropped(): ErrorAnswer {
  return {
    callerAnswer: 'drop',
    surelyNotRun: false,
    retryable: false,
    httpStatus: 400,
    exitCode: exitCodes.failure,
  };
}

function refused(retryable: boolean, httpStatus: number): ErrorAnswer {
  return {
    callerAnswer: 'refuse',
    surelyNotRun: true,
    retryable,
    httpStatus,
    exitCode: exitCodes.unavailable,
  };
}

function closed(): ErrorAnswer {
  return {
    callerAnswer: 'close',
    surelyNotRun: false,
    retryable: false,
    httpStatus: 502,
    exitCode: exitCodes.failure,
  };
}

function operatorError(httpStatus: number, retryable: boolean, exitCode: number): ErrorAnswer {
  return { callerAnswer: 'drop', surelyNotRun: !retryable, retryable, httpStatus, exitCode };
}

/**
 * @returns how errors of a kind are reported
 */
export function answerFor(kind: ErrorKind): ErrorAnswer {
  return match(kind)
    .with(
      'malformed-datagram',
      'unsupported-version',
      'unknown-service',
      'wrong-service',
      'unknown-key',
      'forged-token',
      'unknown-backend',
      'lease-expired',
      dropped,
    )
    .with('stale-incarnation', 'unknown-flow', 'outcome-unknown', closed)
    .with('no-backend-ready', 'overloaded', 'rate-limited', 'backend-refused', () =>
      refused(true, 503),
    )
    .with('backend-draining', 'balancer-stopping', () => refused(true, 503))
    .with('deadline-exceeded', () => refused(false, 504))
    .with('cancelled', () => refused(false, 499))
    .with('notices-gone', () => refused(false, 410))
    .with('invalid-command', () => operatorError(400, false, exitCodes.usage))
    .with('unauthorized', () => operatorError(401, false, exitCodes.refused))
    .with('not-found', () => operatorError(404, false, exitCodes.refused))
    .with('conflict', 'command-id-reused', () => operatorError(409, false, exitCodes.refused))
    .with('command-expired', () => operatorError(410, false, exitCodes.refused))
    .with('not-leader', () => operatorError(421, true, exitCodes.unavailable))
    .with('no-quorum', 'peer-unreachable', () => operatorError(503, true, exitCodes.unavailable))
    .with('wrong-cluster', () => operatorError(403, false, exitCodes.refused))
    .with('invalid-settings', () => operatorError(400, false, exitCodes.settings))
    .with('storage-failed', () => operatorError(507, true, exitCodes.storage))
    .with('internal', () => operatorError(500, true, exitCodes.failure))
    .exhaustive();
}

/** An error value, as carried by neverthrow results. */
export interface AmberliftError {
  readonly kind: ErrorKind;
  /** Human-readable description: one short sentence. */
  readonly message: string;
}

/**
 * @returns an error value
 */
export function amberliftError(kind: ErrorKind, message: string): AmberliftError {
  return { kind, message };
}
