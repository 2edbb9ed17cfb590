/**
 * @file `amberlift check`: validates a settings file, a declared configuration, or operator statements against
 * an export of the state.
 */
import { readFileSync } from 'node:fs';
import type { CAC } from 'cac';
import Table from 'cli-table3';
import { exitCodes } from '../../shared/common/error-kinds.js';
import { loadSettings } from '../../managed/settings/load-settings.js';
import { checkStatements, type StatementCheck } from '../toolbox/check.js';
import { parseStateExport, rebuildState } from '../toolbox/state-export.js';
import { reportError } from './daemon-command.js';
import { readDeclaredFile } from './declared-command.js';

interface CheckFlags {
  readonly config?: string;
  readonly statements?: string;
  readonly state?: string;
  readonly declared?: string;
  readonly json?: boolean;
}

/** Registers the `check` subcommand. */
export function registerCheck(cli: CAC): void {
  cli
    .command('check', 'Check settings, or statements against an export of the state')
    .option('--config <file>', 'Settings file (YAML) to check')
    .option('--statements <file>', 'Operator statements to check, one per line')
    .option('--state <file>', 'Output of "amberlift ctl --json" for show services and backends')
    .option('--declared <file>', 'Declared configuration (YAML or JSON) to check')
    .option('--json', 'Print one line of JSON')
    .action(run);
}

function run(flags: CheckFlags): void {
  if (flags.declared !== undefined) {
    checkDeclared(flags.declared, flags.json ?? false);
    return;
  }
  if (flags.config === undefined && flags.statements === undefined) {
    throw new RangeError('check requires --config, --declared, or --statements with --state.');
  }
  if (flags.config !== undefined) {
    const settings = loadSettings({ file: flags.config, overrides: [] });
    if (settings.isErr()) {
      reportError(settings.error);
      return;
    }
  }
  const statements = flags.statements === undefined ? [] : checkFile(flags.statements, flags.state);
  if (statements === undefined) {
    return;
  }
  const accepted = statements.every((check) => check.accepted);
  if (flags.json === true) {
    process.stdout.write(`${JSON.stringify({ accepted, statements })}\n`);
  } else {
    process.stdout.write(`${describe(statements)}\n`);
  }
  process.exitCode = accepted ? exitCodes.success : exitCodes.refused;
}

function checkDeclared(file: string, asJson: boolean): void {
  readDeclaredFile(file).match(({ version, routes, services }) => {
    const summary = { accepted: true, version, routes: routes.length, services: services.length };
    const sentence = `Version ${version} is valid: ${routes.length} routes, ${services.length} services.`;
    process.stdout.write(`${asJson ? JSON.stringify(summary) : sentence}\n`);
  }, reportError);
}

function checkFile(file: string, stateFile: string | undefined): StatementCheck[] | undefined {
  if (stateFile === undefined) {
    throw new RangeError('--statements requires --state.');
  }
  const exported = parseStateExport(readFileSync(stateFile, 'utf8'));
  if (exported.isErr()) {
    reportError(exported.error);
    return undefined;
  }
  return checkStatements(readFileSync(file, 'utf8'), rebuildState(exported.value));
}

function describe(statements: readonly StatementCheck[]): string {
  if (statements.length === 0) {
    return 'The settings are valid.';
  }
  const table = new Table({ head: ['line', 'statement', 'result'] });
  for (const { line, statement, accepted, kind, message } of statements) {
    table.push([
      line,
      statement,
      accepted ? 'accepted' : `refused, ${kind ?? ''}: ${message ?? ''}`,
    ]);
  }
  return table.toString();
}
