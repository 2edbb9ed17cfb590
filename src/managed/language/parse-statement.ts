/**
 * @file Parses statements of the operators' language into commands and queries. An error tells the
 * word at fault and the words that would be accepted in its place.
 */
import { err, ok, type Result } from 'neverthrow';
import type { OperatorCommand } from '../control/commands.js';
import type { OperatorQuery } from '../control/queries.js';
import { parse, SyntaxError as GrammarError } from './generated/statement-parser.js';

/** What a statement means. */
type Statement =
  | { readonly kind: 'command'; readonly command: OperatorCommand }
  | { readonly kind: 'query'; readonly query: OperatorQuery };

/** Why a text is no statement. */
interface StatementError {
  /** Position of the word at fault in the text, in UTF-16 units; the text's length where it ends early. */
  readonly offset: number;
  /** The word at fault; empty where the text ends early. */
  readonly word: string;
  /** Words that would be accepted; such as `<service>` where a value would be. */
  readonly expected: readonly string[];
  /** True where the statement could have ended before the word. */
  readonly couldEnd: boolean;
  /** Why the statement is refused, where its words are each as expected. */
  readonly reason?: string;
}

/** One thing that the generated parser would have accepted. */
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
 * @returns what it means, or which word is at fault
 */
export function parseStatement(text: string): Result<Statement, StatementError> {
  try {
    return ok(parseText(text));
  } catch (cause) {
    if (cause instanceof ParserErrorClass) {
      return err(statementError(text, cause));
    }
    throw cause;
  }
}

/**
 * @returns the error in lines for people: the statement, a mark under the word at fault, and what
 *   would be accepted there
 */
export function describeStatementError(text: string, error: StatementError): string {
  const mark = ' '.repeat(error.offset) + '^'.repeat(Math.max(1, error.word.length));
  // Tabs and line breaks would shift the mark.
  const line = text.replace(/\s/g, ' ');
  return `${line}\n${mark}\n${error.reason ?? describeFault(error)}`;
}

function describeFault(error: StatementError): string {
  const fault = error.word === '' ? 'The statement ends early' : `"${error.word}" is not expected`;
  const accepted = [...error.expected, ...(error.couldEnd ? ['the end of the statement'] : [])];
  return `${fault}; accepted: ${accepted.join(', ')}.`;
}

function statementError(text: string, cause: ParserError): StatementError {
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
