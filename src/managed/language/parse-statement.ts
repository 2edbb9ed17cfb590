/**
 * @file Parses statements of the operators' language into commands and queries. An error has the
 * unexpected word and the words that are accepted in its place.
 */
import { err, ok, type Result } from 'neverthrow';
import type { OperatorCommand } from '../control/commands.js';
import type { OperatorQuery } from '../control/queries.js';
import { parse, SyntaxError as GrammarError } from './generated/statement-parser.js';

/** A parsed statement. */
type Statement =
  | { readonly kind: 'command'; readonly command: OperatorCommand }
  | { readonly kind: 'query'; readonly query: OperatorQuery };

/** A syntax error. */
interface StatementError {
  /** Offset of the unexpected word in UTF-16 code units; the length of the text if it ends early. */
  readonly offset: number;
  /** The unexpected word; empty if the text ends early. */
  readonly word: string;
  /** Accepted words, or placeholders such as `<service>` for values. */
  readonly expected: readonly string[];
  /** True if the end of the statement is accepted in place of the word. */
  readonly couldEnd: boolean;
  /** Set if each word is valid but the statement is not. */
  readonly reason?: string;
}

/** One alternative that the generated parser accepts. */
interface Expectation {
  readonly type: string;
  readonly description?: string;
}

/** The error of the generated parser. */
interface ParserError extends Error {
  readonly expected: readonly Expectation[] | null;
  readonly location: { readonly start: { readonly offset: number } };
}

const parseText = parse as (text: string) => Statement;
const ParserErrorClass = GrammarError as unknown as abstract new () => ParserError;

/**
 * @param text one statement
 * @returns the command or query, or the syntax error
 */
export function parseStatement(text: string): Result<Statement, StatementError> {
  try {
    return ok(parseText(text));
  } catch (cause) {
    if (cause instanceof ParserErrorClass) {
      return err(toStatementError(text, cause));
    }
    throw cause;
  }
}

/**
 * @returns a message of three lines: the statement, a marker under the unexpected word, and what is
 *   accepted there
 */
export function describeStatementError(text: string, error: StatementError): string {
  const marker = ' '.repeat(error.offset) + '^'.repeat(Math.max(1, error.word.length));
  // Tabs and line breaks would shift the marker.
  const line = text.replace(/\s/g, ' ');
  return `${line}\n${marker}\n${error.reason ?? describeSyntaxError(error)}`;
}

function describeSyntaxError(error: StatementError): string {
  const problem =
    error.word === '' ? 'The statement ends early' : `"${error.word}" is not expected`;
  const accepted = [...error.expected, ...(error.couldEnd ? ['the end of the statement'] : [])];
  return `${problem}; accepted: ${accepted.join(', ')}.`;
}

function toStatementError(text: string, cause: ParserError): StatementError {
  const { offset } = cause.location.start;
  const expected = cause.expected ?? [];
  const words = expected
    .map(({ description }) => description)
    .filter((word) => word !== undefined && word !== 'space') as string[];
  return {
    offset,
    word: /^\S*/.exec(text.slice(offset))?.[0] ?? '',
    expected: [...new Set(words)].sort(),
    couldEnd: expected.some(({ type }) => type === 'end'),
    ...(cause.expected === null && { reason: cause.message }),
  };
}
