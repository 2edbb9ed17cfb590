/**
 * @file `amberlift plan`: previews adding, draining or retiring a back end, applying a declared configuration, or
 * evacuating a zone.
 */
import { readFileSync } from 'node:fs';
import type { CAC } from 'cac';
import Table from 'cli-table3';
import { err, ok, type Result } from 'neverthrow';
import type { ChangeCommand } from '../../managed/control/commands.js';
import { amberliftError, exitCodes, type AmberliftError } from '../../shared/common/error-kinds.js';
import { describeStatementError, parseStatement } from '../../managed/language/parse-statement.js';
import { planChange, type ChangePlan } from '../toolbox/plan.js';
import { parseStateExport } from '../toolbox/state-export.js';
import { reportError } from './daemon-command.js';
import { printDeclaredPlan } from './declared-command.js';
import { printEvacuationPlan } from './zone-command.js';

const DEFAULT_CONNECTION_LIMIT = 2_000;
const DEFAULT_MOVES_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1_000;

interface PlanFlags {
  readonly state?: string;
  readonly connectionLimit: number;
  readonly movesPerSecond: number;
  readonly declared?: string;
  readonly against?: string;
  readonly zones?: string;
  readonly json?: boolean;
}

/** Registers the `plan` subcommand. */
export function registerPlan(cli: CAC): void {
  cli
    .command('plan [...statement]', 'Preview a change of back ends')
    .option('--state <file>', 'Output of "amberlift ctl --json" for show services and backends')
    .option(
      '--connection-limit <count>',
      'Connection limit of a back end if its service sets none',
      {
        default: DEFAULT_CONNECTION_LIMIT,
      },
    )
    .option('--moves-per-second <count>', 'Flows that a draining back end moves per second', {
      default: DEFAULT_MOVES_PER_SECOND,
    })
    .option('--declared <file>', 'Declared configuration (YAML or JSON) to preview')
    .option(
      '--against <file>',
      'Output of "amberlift ctl --json show config"; default: no current configuration',
    )
    .option('--zones <file>', 'Output of "amberlift ctl --json show zones"; for "evacuate ZONE"')
    .option('--json', 'Print one line of JSON')
    .action(run);
}

function run(words: readonly string[], flags: PlanFlags): void {
  if (flags.declared !== undefined) {
    printDeclaredPlan(flags.declared, flags.against, flags.json ?? false);
    return;
  }
  if (flags.zones !== undefined) {
    printEvacuationPlan(flags.zones, words, flags.json ?? false);
    return;
  }
  if (flags.state === undefined) {
    throw new RangeError('plan requires --state, --declared or --zones.');
  }
  const options = {
    connectionLimit: positiveInteger('connection-limit', flags.connectionLimit),
    movesPerSecond: positiveInteger('moves-per-second', flags.movesPerSecond),
  };
  const plan = parseStateExport(readFileSync(flags.state, 'utf8')).andThen((exported) =>
    parseChange(words.join(' ')).andThen((change) => planChange(exported, change, options)),
  );
  if (plan.isErr()) {
    reportError(plan.error);
    return;
  }
  const text = flags.json === true ? JSON.stringify(plan.value) : describe(plan.value);
  process.stdout.write(`${text}\n`);
  process.exitCode = plan.value.fits ? exitCodes.success : exitCodes.refused;
}

function positiveInteger(name: string, value: number): number {
  if (!Number.isInteger(value) || value < 1) {
    throw new RangeError(`--${name} must be a positive integer.`);
  }
  return value;
}

function parseChange(text: string): Result<ChangeCommand, AmberliftError> {
  return parseStatement(text)
    .mapErr((error) => amberliftError('invalid-command', describeStatementError(text, error)))
    .andThen((statement) => {
      if (statement.kind === 'query') {
        return err(amberliftError('invalid-command', 'A query changes nothing.'));
      }
      const { command } = statement;
      if (command.type === 'cancel-plan') {
        return err(amberliftError('invalid-command', 'Cancelling a plan changes no back end.'));
      }
      return ok(command.type === 'plan-change' ? command.change : command);
    });
}

function describe(plan: ChangePlan): string {
  const table = new Table({ head: ['back end', 'zone', 'before', 'during', 'after'] });
  for (const { backendId, zone, before, during, after } of plan.loads) {
    table.push([backendId ?? 'new', zone, before, during, after]);
  }
  const seconds = Math.ceil(plan.timeToDrainMs / MILLISECONDS_PER_SECOND);
  return [
    table.toString(),
    `Flows that move: ${plan.flowsMoved}; time to drain: ${seconds} s.`,
    `It ${plan.fits ? 'fits' : 'does not fit'} into ${plan.connectionLimit} connections each.`,
    `If ${plan.lostBackends} more were lost, the others would hold ` +
      `${plan.connectionsWithoutThird} each, which ${plan.fitsWithoutThird ? 'fits' : 'does not fit'}.`,
  ].join('\n');
}
