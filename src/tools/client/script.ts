/**
 * @file Runs a script of one statement per line. Empty lines and lines that begin with `#` are skipped.
 */
import { exitCodes } from '../../shared/common/error-kinds.js';
import { parseStatement } from '../../managed/language/parse-statement.js';
import { runStatement, type RunnerOptions, type StatementOutput } from './statement-runner.js';

/** A statement with its line number. */
export interface ScriptLine {
  /** Counts from 1. */
  readonly number: number;
  readonly text: string;
}

function parseScript(script: string): ScriptLine[] {
  return script
    .split('\n')
    .map((line, position) => ({ number: position + 1, text: line.trim() }))
    .filter(({ text }) => text !== '' && !text.startsWith('#'));
}

/**
 * Runs a script up to the first statement that fails. Runs nothing if a line does not parse.
 * @param commandId prefix of the command IDs, `commandId-LINE`; a second run with it applies nothing twice
 * @param print called with the output of each statement
 * @returns the exit code of the last statement that ran
 */
export async function runScript(
  options: RunnerOptions,
  script: string,
  commandId: string,
  print: (output: StatementOutput) => void,
): Promise<number> {
  const lines = parseScript(script);
  const invalidLine = lines.find(({ text }) => parseStatement(text).isErr());
  for (const line of invalidLine === undefined ? lines : [invalidLine]) {
    const output = await runStatement(options, line.text, `${commandId}-${line.number}`);
    if (output.exitCode !== exitCodes.success) {
      print({ ...output, error: `Line ${line.number}:\n${output.error}` });
      return output.exitCode;
    }
    print(output);
  }
  return exitCodes.success;
}
