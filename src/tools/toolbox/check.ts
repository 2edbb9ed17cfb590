/**
 * @file Checks a list of operator statements against an export of the state, before they are sent:
 * each is applied to a copy by the replicated step itself, so that later ones see earlier ones.
 */
import { applyCommand } from '../../managed/control/apply-command.js';
import type { ClusterState } from '../../managed/control/cluster-state.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import { describeStatementError, parseStatement } from '../../managed/language/parse-statement.js';
import { EXPORT_OPERATOR } from './state-export.js';

/** What came of one statement. */
export interface StatementCheck {
  /** Line in the list, from 1. */
  readonly line: number;
  readonly statement: string;
  readonly accepted: boolean;
  /** Why it would be refused. */
  readonly kind?: ErrorKind;
  readonly message?: string;
}

/**
 * @param script one statement a line; empty lines and lines that begin with `#` are left out
 * @param state changed by the statements that would be accepted
 * @returns one check a statement; queries are accepted without effect
 */
export function checkStatements(script: string, state: ClusterState): StatementCheck[] {
  const checks: StatementCheck[] = [];
  for (const [position, text] of script.split('\n').entries()) {
    const statement = text.trim();
    if (statement !== '' && !statement.startsWith('#')) {
      checks.push({ line: position + 1, statement, ...checkStatement(statement, state, position) });
    }
  }
  return checks;
}

type Verdict = Pick<StatementCheck, 'accepted' | 'kind' | 'message'>;

function checkStatement(text: string, state: ClusterState, position: number): Verdict {
  const parsed = parseStatement(text);
  if (parsed.isErr()) {
    const message = describeStatementError(text, parsed.error);
    return { accepted: false, kind: 'invalid-command', message };
  }
  if (parsed.value.kind === 'query') {
    return { accepted: true };
  }
  const entry = {
    commandId: `check-${position + 1}`,
    operator: EXPORT_OPERATOR,
    command: parsed.value.command,
  };
  const { outcome } = applyCommand(state, { term: state.term, index: state.index + 1 }, entry);
  return outcome.accepted
    ? { accepted: true }
    : { accepted: false, kind: outcome.error.kind, message: outcome.error.message };
}
