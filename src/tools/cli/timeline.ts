/**
 * @file `amberlift timeline`: shows from logs how processes restarted and which step took longest.
 */
import type { CAC } from 'cac';
import { exitCodes } from '../../shared/common/error-kinds.js';
import { timelineOf, type ProcessStart, type Recovery } from '../toolbox/timeline.js';
import { readLogs } from './log-files.js';

interface TimelineFlags {
  readonly json?: boolean;
  readonly least?: number;
}

/** Hides single planned restarts. */
const DEFAULT_MIN_STARTS = 3;

/** Registers the `timeline` subcommand. */
export function registerTimeline(cli: CAC): void {
  cli
    .command('timeline [...logs]', 'Show how processes restarted and what they waited for')
    .option('--json', 'Print one line of JSON')
    .option('--least <count>', 'Show only restarts of at least this many processes', {
      default: DEFAULT_MIN_STARTS,
    })
    .example('amberlift timeline balancer-*.log control-*.log')
    .action(run);
}

function run(files: readonly string[], flags: TimelineFlags): void {
  const { returns, skews } = timelineOf(readLogs(files));
  const shownReturns = returns.filter(
    ({ starts }) => starts.length >= (flags.least ?? DEFAULT_MIN_STARTS),
  );
  const text =
    flags.json === true
      ? JSON.stringify({ returns: shownReturns, skews })
      : [
          ...shownReturns.map(describeReturn),
          ...skews.map(({ source, aheadMs }) => `The clock of ${source} is off by ${aheadMs} ms.`),
        ].join('\n\n');
  process.stdout.write(`${text === '' ? 'No matching restarts.' : text}\n`);
  process.exitCode = shownReturns.length > 0 ? exitCodes.success : exitCodes.refused;
}

function describeReturn({ starts, groupPhases, longestWait }: Recovery): string {
  const startMs = groupPhases[0]?.atMs ?? 0;
  const width = Math.max(...starts.map(({ source }) => source.length));
  return [
    `${starts.length} processes came back, from ${new Date(startMs).toISOString()}:`,
    ...groupPhases.map(({ text, atMs }) => `${formatElapsed(startMs, atMs)}  ${text}`),
    ...(longestWait === undefined
      ? []
      : [
          `The longest wait, ${Math.round(longestWait.tookMs)} ms: until ${longestWait.until.text}.`,
        ]),
    'Each process:',
    ...starts.map((start) => describeStart(start, startMs, width)),
  ].join('\n');
}

function describeStart(start: ProcessStart, startMs: number, width: number): string {
  const phases = start.phases.map(
    ({ name, atMs }) => `${name} ${formatElapsed(startMs, atMs).trim()}`,
  );
  const { failedTries } = start;
  const tries = failedTries === 0 ? [] : [`${failedTries} tries reached no control machine`];
  return `  ${start.source.padEnd(width)}  ${[...phases, ...tries].join(', ')}`;
}

function formatElapsed(startMs: number, atMs: number): string {
  return `+${Math.round(atMs - startMs)} ms`.padStart(10);
}
