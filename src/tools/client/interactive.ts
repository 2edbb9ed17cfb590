/**
 * @file The interactive client: a prompt with history and completion.
 */
import { createInterface } from 'node:readline/promises';
import type { CompleterResult } from 'node:readline';
import { completeStatement, type KnownValues } from '../../managed/language/complete-statement.js';
import { newCommandId } from './command-ids.js';
import type { OperatorClient } from './operator-client.js';
import { runStatement, type RunnerOptions, type StatementOutput } from './statement-runner.js';

const PROMPT = 'amberlift> ';
const HISTORY_SIZE = 500;

/** Input, output and history of an interactive session. */
export interface Terminal {
  readonly input: NodeJS.ReadableStream;
  readonly output: NodeJS.WritableStream;
  /** Enables cursor keys and completion; false for a pipe. */
  readonly isTerminal: boolean;
  /** Lines of earlier sessions, newest first. */
  readonly history: readonly string[];
}

/**
 * Reads and runs statements until `exit` or the end of the input.
 * @returns the lines of this and earlier sessions, newest first
 */
export async function runInteractive(
  options: RunnerOptions,
  terminal: Terminal,
): Promise<readonly string[]> {
  let history = terminal.history;
  const prompt = createInterface({
    input: terminal.input,
    output: terminal.output,
    terminal: terminal.isTerminal,
    prompt: PROMPT,
    history: [...history],
    historySize: HISTORY_SIZE,
    removeHistoryDuplicates: true,
    completer: (line: string) => complete(options.client, line),
  });
  prompt.on('history', (lines: string[]) => {
    history = [...lines];
  });
  prompt.prompt();
  for await (const line of prompt) {
    const text = line.trim();
    if (text === 'exit') {
      break;
    }
    if (text !== '') {
      print(terminal, await runLine(options, text));
    }
    prompt.prompt();
  }
  prompt.close();
  return history;
}

async function runLine(options: RunnerOptions, text: string): Promise<StatementOutput> {
  if (text === 'help') {
    const { words } = completeStatement('');
    const output = `Statements begin with ${words.join(', ')}; the tab key completes; exit ends.`;
    return { output, error: '', exitCode: 0 };
  }
  return runStatement(options, text, newCommandId());
}

function print(terminal: Terminal, { output, error }: StatementOutput): void {
  const text = [output, error].filter((part) => part !== '').join('\n');
  terminal.output.write(`${text}\n`);
}

/**
 * @param line the line up to the cursor
 * @returns the words that may come next, as readline's completer expects them
 */
export async function complete(client: OperatorClient, line: string): Promise<CompleterResult> {
  const { placeholders } = completeStatement(line);
  const values =
    placeholders.length === 0 ? new Map() : await fetchPlaceholderValues(client, placeholders);
  const { partialWord, words } = completeStatement(line, values);
  return [words.map((word) => `${word} `), partialWord];
}

async function fetchPlaceholderValues(
  client: OperatorClient,
  placeholders: readonly string[],
): Promise<KnownValues> {
  const values = new Map<string, readonly string[]>();
  if (placeholders.includes('<service>')) {
    const answer = await client.query({ type: 'services' });
    const services = answer.map((result) => result.services).unwrapOr([]);
    values.set(
      '<service>',
      services.map(({ name }) => name),
    );
  }
  if (placeholders.includes('<back end ID>')) {
    const answer = await client.query({ type: 'backends' });
    const backends = answer.map((result) => result.backends).unwrapOr([]);
    values.set(
      '<back end ID>',
      backends.map(({ id }) => String(id)),
    );
  }
  if (placeholders.includes('<plan ID>')) {
    const answer = await client.query({ type: 'changes' });
    const planned = answer.map((result) => result.planned).unwrapOr([]);
    values.set(
      '<plan ID>',
      planned.map(({ id }) => String(id)),
    );
  }
  return values;
}
