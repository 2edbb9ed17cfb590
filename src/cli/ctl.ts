/**
 * @file `amberlift ctl`: sends one operator command, or shows what is in force.
 */
import { randomUUID } from 'node:crypto';
import type { CAC } from 'cac';
import { OperatorClient } from '../client/operator-client.js';
import { operatorCommandSchema } from '../control/commands.js';
import { amberliftError } from '../flow/error-kinds.js';
import { addressFlag } from './address-flag.js';
import { reportError } from './daemon-command.js';

interface CtlFlags {
  readonly control: string | string[];
  readonly token: string;
  readonly commandId?: string;
}

/**
 * Registers the subcommand.
 */
export function registerCtl(cli: CAC): void {
  cli
    .command('ctl <command>', 'Send an operator command (JSON), or "show"')
    .option('--control <address>', 'Operator address of a control machine; may be repeated')
    .option('--token <token>', "The operator's bearer token")
    .option('--command-id <id>', 'Command ID, to send a command again; made up by default')
    .action(run);
}

async function run(text: string, flags: CtlFlags): Promise<void> {
  const controlAddresses = [flags.control].flat().map((item) => addressFlag('control', item));
  const client = new OperatorClient({ controlAddresses, bearerToken: flags.token });
  const result = text === 'show' ? await client.show() : await sendCommand(client, text, flags);
  result?.match(
    (value) => process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`),
    reportError,
  );
}

async function sendCommand(client: OperatorClient, text: string, flags: CtlFlags) {
  const command = operatorCommandSchema.safeParse(JSON.parse(text));
  if (!command.success) {
    reportError(amberliftError('invalid-command', command.error.message));
    return undefined;
  }
  return client.send(flags.commandId ?? randomUUID(), command.data);
}
