/**
 * @file `amberlift ctl`: the operator client. Runs one statement, a script, or an interactive prompt. `apply FILE`,
 * `show config`, `evacuate ZONE`, `readmit ZONE` and `show zones` call the API of a control group with declared
 * configurations.
 */
import { readFile, writeFile } from 'node:fs/promises';
import type { CAC } from 'cac';
import { newCommandId } from '../client/command-ids.js';
import { createDeclaredClient, type DeclaredClient } from '../client/declared-client.js';
import { runInteractive } from '../client/interactive.js';
import { OperatorClient } from '../client/operator-client.js';
import { runScript } from '../client/script.js';
import {
  runStatement,
  type RunnerOptions,
  type StatementOutput,
} from '../client/statement-runner.js';
import { MAX_COMMAND_ID_LENGTH } from '../../managed/control/commands.js';
import { ctlOptions } from '../../managed/language/command-reference.js';
import type { Address } from '../../shared/common/address.js';
import { addressFlag } from './address-flag.js';
import { parseDeclaredCommand, runDeclaredCommand } from './declared-command.js';
import { parseZoneCommand, runZoneCommand } from './zone-command.js';

const MILLISECONDS_PER_SECOND = 1000;

interface CtlFlags {
  readonly control?: string | string[];
  /** The command-line parser converts numeric text to a number. */
  readonly token?: string | number;
  readonly tokenFile?: string;
  readonly ca?: string;
  readonly commandId?: string | number;
  readonly file?: string;
  readonly history?: string;
  readonly json?: boolean;
  readonly wait?: number | string;
}

/** Registers the `ctl` subcommand. */
export function registerCtl(cli: CAC): void {
  const command = cli.command(
    'ctl [...statement]',
    'Run an operator statement, or start an interactive prompt',
  );
  ctlOptions.forEach(({ flag, meaning }) => command.option(flag, meaning));
  command.action(run);
}

async function run(words: readonly string[], flags: CtlFlags): Promise<void> {
  const declared = parseDeclaredCommand(words);
  if (declared !== undefined) {
    await runDeclaredCommand(declared, await declaredClientFromFlags(flags), flags.json ?? false);
    return;
  }
  const zoneCommand = parseZoneCommand(words);
  if (zoneCommand !== undefined) {
    await runZoneCommand(zoneCommand, await declaredClientFromFlags(flags), flags.json ?? false);
    return;
  }
  const options: RunnerOptions = {
    client: await clientFromFlags(flags),
    json: flags.json ?? false,
    waitMs: secondsFlag('wait', flags.wait) * MILLISECONDS_PER_SECOND,
  };
  const commandId = commandIdFlag(flags.commandId);
  if (flags.file !== undefined) {
    const script = await readFile(flags.file, 'utf8');
    process.exitCode = await runScript(options, script, commandId, print);
  } else if (words.length > 0) {
    const output = await runStatement(options, words.join(' '), commandId);
    print(output);
    process.exitCode = output.exitCode;
  } else {
    await prompt(options, flags.history);
  }
}

async function declaredClientFromFlags(flags: CtlFlags): Promise<DeclaredClient> {
  return createDeclaredClient({
    controlAddresses: controlAddressesFromFlags(flags),
    operatorToken: await readToken(flags),
  });
}

function controlAddressesFromFlags(flags: CtlFlags): Address[] {
  const controlTexts = [flags.control ?? []].flat();
  if (controlTexts.length === 0) {
    throw new TypeError('--control is required: the operator address of a control machine.');
  }
  return controlTexts.map((text) => addressFlag('control', text));
}

async function readToken(flags: CtlFlags): Promise<string | undefined> {
  const token =
    flags.tokenFile === undefined ? flags.token : await readFile(flags.tokenFile, 'utf8');
  return token === undefined ? undefined : String(token).trim();
}

async function clientFromFlags(flags: CtlFlags): Promise<OperatorClient> {
  const controlAddresses = controlAddressesFromFlags(flags);
  const bearerToken = await readToken(flags);
  if (bearerToken === undefined) {
    throw new TypeError('--token-file or --token is required.');
  }
  return new OperatorClient({
    controlAddresses,
    bearerToken,
    ca: flags.ca === undefined ? undefined : await readFile(flags.ca, 'utf8'),
  });
}

function secondsFlag(flag: string, value: number | string = 0): number {
  const seconds = Number(value);
  if (!(seconds >= 0)) {
    throw new TypeError(`--${flag} ${value}: expected a number of seconds, 0 or more.`);
  }
  return seconds;
}

function commandIdFlag(value: string | number | undefined): string {
  if (value === undefined) {
    return newCommandId();
  }
  const text = String(value);
  if (!/^[!-~]+$/.test(text) || text.length > MAX_COMMAND_ID_LENGTH) {
    throw new TypeError(
      '--command-id: expected 1 to 128 printable ASCII characters without spaces.',
    );
  }
  return text;
}

async function prompt(options: RunnerOptions, historyFile: string | undefined): Promise<void> {
  const { stdin: input, stdout: output } = process;
  const history = historyFile === undefined ? [] : await readHistory(historyFile);
  const isTerminal = input.isTTY && output.isTTY;
  const lines = await runInteractive(options, { input, output, isTerminal, history });
  if (historyFile !== undefined) {
    await writeFile(historyFile, lines.map((line) => `${line}\n`).join(''));
  }
}

async function readHistory(file: string): Promise<string[]> {
  // Start with an empty history if the file is missing or unreadable.
  const text = await readFile(file, 'utf8').catch(() => '');
  return text.split('\n').filter((line) => line !== '');
}

function print({ output, error }: StatementOutput): void {
  if (output !== '') {
    process.stdout.write(`${output}\n`);
  }
  if (error !== '') {
    process.stderr.write(`${error}\n`);
  }
}
