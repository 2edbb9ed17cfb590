/**
 * @file Completion of a statement that is being written, from what the grammar accepts next.
 */
import { parseStatement } from './parse-statement.js';

/** What may come next in a statement. */
interface Completion {
  /** The word that is being written; empty after a space. */
  readonly partialWord: string;
  /** Words of the language that fit the partial word, with all values that fit. */
  readonly words: readonly string[];
  /** What kind of value may stand here, such as `<service>`. */
  readonly placeholders: readonly string[];
}

/** Known values by placeholder, such as the names of services for `<service>`. */
export type KnownValues = ReadonlyMap<string, readonly string[]>;

/**
 * @param text the statement up to the cursor
 * @returns what may stand at the cursor
 */
export function completeStatement(text: string, known: KnownValues = new Map()): Completion {
  const partialWord = /\S*$/.exec(text)?.[0] ?? '';
  const before = text.slice(0, text.length - partialWord.length);
  const expected = expectedAfter(before);
  const placeholders = expected.filter((word) => word.startsWith('<'));
  const words = expected.filter((word) => !word.startsWith('<'));
  const values = placeholders.flatMap((placeholder) => known.get(placeholder) ?? []);
  return {
    partialWord,
    words: [...words, ...values].filter((word) => word.startsWith(partialWord.toLowerCase())),
    placeholders,
  };
}

/** A word that no rule accepts shows what any rule would accept in its place. */
function expectedAfter(before: string): readonly string[] {
  const probe = '\u0000';
  return parseStatement(before + probe).match(
    () => [],
    (error) => (error.offset >= before.length ? error.expected : []),
  );
}
