/**
 * @file Completes a partial statement with the words that the grammar accepts next.
 */
import { parseStatement } from './parse-statement.js';

/** The candidates at the cursor. */
interface Completion {
  /** The word before the cursor; empty after a space. */
  readonly partialWord: string;
  /** Keywords and known values that start with the partial word. */
  readonly words: readonly string[];
  /** Kinds of values that are accepted here, such as `<service>`. */
  readonly placeholders: readonly string[];
}

/** Known values by placeholder, such as service names for `<service>`. */
export type KnownValues = ReadonlyMap<string, readonly string[]>;

/**
 * @param text the statement up to the cursor
 * @returns the candidates at the cursor
 */
export function completeStatement(text: string, knownValues: KnownValues = new Map()): Completion {
  const partialWord = /\S*$/.exec(text)?.[0] ?? '';
  const prefix = text.slice(0, text.length - partialWord.length);
  const expected = expectedAfter(prefix);
  const placeholders = expected.filter((word) => word.startsWith('<'));
  const words = expected.filter((word) => !word.startsWith('<'));
  const values = placeholders.flatMap((placeholder) => knownValues.get(placeholder) ?? []);
  return {
    partialWord,
    words: [...words, ...values].filter((word) => word.startsWith(partialWord.toLowerCase())),
    placeholders,
  };
}

/** Parses the prefix with a word that no rule accepts; the error then lists the accepted words. */
function expectedAfter(prefix: string): readonly string[] {
  const invalidWord = '\u0000';
  return parseStatement(prefix + invalidWord).match(
    () => [],
    (error) => (error.offset >= prefix.length ? error.expected : []),
  );
}
