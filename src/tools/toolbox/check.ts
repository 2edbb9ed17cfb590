/**
 * @file Dry run of operator statements against an exported state. Each is applied by the replicated state machine's own
 * code, so that later statements see the effect of earlier ones.
 */
import { applyCommand } from '../../managed/control/apply-command.js';
import type { ClusterState } from '../../managed/control/cluster-state.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import { describeStatementError, parseStatement } from '../../managed/language/parse-statement.js';
import { EXPORT_OPERATOR } from './state-export.js';

/** Result of one statement. */
export interface StatementCheck {
  /** Line number in the script, from 1. */
  readonly line: number;
  readonly statement: string;
  readonly accepted: boolean;
  /** Error kind with which the statement would be refused. */
  readonly kind?: ErrorKind;
  readonly message?: string;
}

/**
 * @param script one statement per line; empty lines and lines that begin with `#` are skipped
 * @param state modified by the accepted statements
 * @returns one result per statement; queries are accepted and have no effect
 */
export function checkStatements(script: string, state: ClusterState): StatementCheck[] {
  const checks: StatementCheck[] = [];
  for (const [lineIndex, text] of script.split('\n').entries()) {
    const statement = text.trim();
    if (statement !== '' && !statement.startsWith('#')) {
      checks.push({
        line: lineIndex + 1,
        statement,
        ...checkStatement(statement, state, lineIndex),
      });
    }
  }
  return checks;
}

type CheckResult = Pick<StatementCheck, 'accepted' | 'kind' | 'message'>;

function checkStatement(text: string, state: ClusterState, lineIndex: number): CheckResult {
  const parsed = parseStatement(text);
  if (parsed.isErr()) {
    const message = describeStatementError(text, parsed.error);
    return { accepted: false, kind: 'invalid-command', message };
  }
  if (parsed.value.kind === 'query') {
    return { accepted: true };
  }
  const entry = {
    commandId: `check-${lineIndex + 1}`,
    operator: EXPORT_OPERATOR,
    command: parsed.value.command,
  };
  const { outcome } = applyCommand(state, { term: state.term, index: state.index + 1 }, entry);
  return outcome.accepted
    ? { accepted: true }
    : { accepted: false, kind: outcome.error.kind, message: outcome.error.message };
}
