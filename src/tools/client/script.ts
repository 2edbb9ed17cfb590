/**
 * @file Runs a script: one statement a line; empty lines and lines that begin with `#` are left out.
 */
import { exitCodes } from '../../shared/common/error-kinds.js';
import { parseStatement } from '../../managed/language/parse-statement.js';
import { runStatement, type RunnerOptions, type StatementOutput } from './statement-runner.js';

/** A statement of a script. */
export interface ScriptLine {
  /** Counts from 1. */
  readonly number: number;
  readonly text: string;
}

/**
 * @returns the statements of the script
 */
function scriptLines(script: string): ScriptLine[] {
  return script
    .split('\n')
    .map((line, position) => ({ number: position + 1, text: line.trim() }))
    .filter(({ text }) => text !== '' && !text.startsWith('#'));
}

/**
 * Runs a script, up to the first statement that fails. Nothing is run where one line is no statement.
 * @param commandId each command is sent as `commandId-LINE`, so that the script can be run again
 * @param print called with what each statement gave
 * @returns the exit code of the last statement
 */
export async function runScript(
  options: RunnerOptions,
  script: string,
  commandId: string,
  print: (output: StatementOutput) => void,
): Promise<number> {
  const lines = scriptLines(script);
  const wrong = lines.find(({ text }) => parseStatement(text).isErr());
  for (const line of wrong === undefined ? lines : [wrong]) {
    const output = await runStatement(options, line.text, `${commandId}-${line.number}`);
    if (output.exitCode !== exitCodes.success) {
      print({ ...output, error: `Line ${line.number}:\n${output.error}` });
      return output.exitCode;
    }
    print(output);
  }
  return exitCodes.success;
}
