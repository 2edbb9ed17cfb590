/**
 * @file `amberlift replay`: prints the events of a recorded simulator trace, filtered by flow, process, command or
 * request, all at once or step by step.
 */
import { readFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import type { CAC } from 'cac';
import { amberliftError } from '../../shared/common/error-kinds.js';
import { parseTrace, selectEvents, type RecordedTrace } from '../toolbox/replay-trace.js';
import { describeEvent } from '../toolbox/describe-event.js';
import { reportError } from './daemon-command.js';

interface ReplayFlags {
  readonly flow?: string;
  readonly process?: string;
  readonly command?: string;
  readonly request?: number;
  readonly type?: string;
  readonly from?: number;
  readonly to?: number;
  readonly step?: boolean;
  readonly json?: boolean;
}

/** Registers the `replay` subcommand. */
export function registerReplay(cli: CAC): void {
  cli
    .command('replay <file>', 'Print a recorded trace of the simulator')
    .option('--flow <name>', 'Only events of this flow, such as flow-3')
    .option('--process <name>', 'Only events of this process, such as authd-2 or balancer-1')
    .option('--command <id>', 'Only events of this command, such as tarjeta-4')
    .option('--request <number>', 'Only events of this request')
    .option('--type <type>', 'Only events of this type, such as run')
    .option('--from <ms>', 'Only events from this time on')
    .option('--to <ms>', 'Only events up to this time')
    .option('--step', 'Wait for Enter after each event')
    .option('--json', 'Print the events as JSON lines')
    .action(run);
}

async function run(file: string, flags: ReplayFlags): Promise<void> {
  let content: string;
  try {
    content = await readFile(file, 'utf8');
  } catch (cause) {
    reportError(amberliftError('invalid-settings', String(cause)));
    return;
  }
  const trace = parseTrace(content);
  if (trace.isErr()) {
    reportError(trace.error);
    return;
  }
  await printStory(trace.value, flags);
}

async function printStory({ header, events }: RecordedTrace, flags: ReplayFlags): Promise<void> {
  const { flow, process: name, command, request, type, from, to } = flags;
  const filter = { flow, process: name, command, request, type, fromMs: from, toMs: to };
  const selected = selectEvents(events, filter);
  if (flags.json === true) {
    selected.forEach((event) => process.stdout.write(`${JSON.stringify(event)}\n`));
    return;
  }
  const { scenario, seed, violations } = header;
  process.stdout.write(`Scenario ${scenario}, seed ${seed}: ${selected.length} events.\n`);
  const lines = flags.step === true ? readInputLines() : undefined;
  for (const event of selected) {
    process.stdout.write(`${describeEvent(event)}\n`);
    if (lines !== undefined && (await lines.next()).done === true) {
      return;
    }
  }
  for (const { check, atMs, text } of violations) {
    process.stdout.write(`Violation of ${check} at ${atMs.toFixed(1)} ms: ${text}\n`);
  }
}

function readInputLines(): AsyncIterator<string> {
  return createInterface({ input: process.stdin })[Symbol.asyncIterator]();
}
