/**
 * @file `amberlift report`: makes one HTML page of a fleet run.
 */
import { readFile, writeFile } from 'node:fs/promises';
import type { CAC } from 'cac';
import { z } from 'zod';
import { fleetResultSchema } from '../../proof/experiment/report-data.js';
import { reportPage } from '../../proof/experiment/report-page.js';
import { amberliftError } from '../../shared/common/error-kinds.js';
import { reportError } from './daemon-command.js';

interface ReportFlags {
  readonly input: string;
  readonly output: string;
}

/**
 * Registers the subcommand.
 */
export function registerReport(cli: CAC): void {
  cli
    .command('report', 'Make one HTML page of a fleet run')
    .option('--input <file>', 'File that `amberlift fleet --output` wrote', {
      default: 'fleet.json',
    })
    .option('--output <file>', 'The page', { default: 'fleet.html' })
    .action(run);
}

async function run({ input, output }: ReportFlags): Promise<void> {
  const data = await read(input);
  if (data.success) {
    await writeFile(output, reportPage(data.data));
  } else {
    const reason = z.prettifyError(data.error);
    reportError(amberliftError('invalid-settings', `${input}: ${reason}`));
  }
}

async function read(file: string) {
  const value: unknown = JSON.parse(await readFile(file, 'utf8'));
  return fleetResultSchema.safeParse(value);
}
