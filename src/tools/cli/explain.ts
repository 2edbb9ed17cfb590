/**
 * @file `amberlift explain`: prints the history of one request, flow, back end or configuration from logs.
 */
import type { CAC } from 'cac';
import { exitCodes } from '../../shared/common/error-kinds.js';
import { explain, type Explanation } from '../toolbox/explain.js';
import { readLogs } from './log-files.js';

const MS_PER_SECOND = 1_000;

interface ExplainFlags {
  readonly json?: boolean;
}

/** Registers the `explain` subcommand. */
export function registerExplain(cli: CAC): void {
  cli
    .command(
      'explain <id> [...logs]',
      'Show the history of a request, flow, back end or configuration',
    )
    .option('--json', 'Print one line of JSON')
    .example('amberlift explain 853dc276e3b37f50 balancer-*.log control-*.log')
    .action(run);
}

function run(id: string | number, files: readonly string[], flags: ExplainFlags): void {
  const lines = readLogs(files);
  const story = explain(lines, String(id));
  const text = flags.json === true ? toJson(story) : describe(story, String(id), lines.length);
  process.stdout.write(`${text}\n`);
  process.exitCode = story.subject === undefined ? exitCodes.refused : exitCodes.success;
}

function toJson({ subject, lines, findings, gaps, skews }: Explanation): string {
  const printed = lines.map(({ line: { source, name, fields }, atMs }) => ({
    at: new Date(atMs).toISOString(),
    source,
    name,
    fields: Object.fromEntries(fields),
  }));
  return JSON.stringify({ subject, lines: printed, findings, gaps, skews });
}

function describe(story: Explanation, id: string, lineCount: number): string {
  const { subject, lines, findings, gaps, skews } = story;
  if (subject === undefined) {
    return [
      `None of the ${lineCount} log lines mentions ${id}.`,
      'Its first packet reached no balancer among these logs, or its log line was omitted.',
      ...section('Missing', gaps),
    ].join('\n');
  }
  const startMs = lines[0]?.atMs ?? 0;
  const width = Math.max(...lines.map(({ line }) => line.source.length));
  return [
    `The ${subject.type} ${id}, from ${new Date(startMs).toISOString()}:`,
    ...lines.map(({ line, atMs }) => {
      const at = `+${((atMs - startMs) / MS_PER_SECOND).toFixed(3)}`.padStart(9);
      return `${at}  ${line.source.padEnd(width)}  ${line.text}`;
    }),
    ...section('What stands out', findings),
    ...section('Missing', gaps),
    ...section(
      'Clocks',
      skews.map(({ source, aheadMs }) => {
        const direction = aheadMs > 0 ? 'ahead' : 'behind';
        return `${source} is ${Math.abs(aheadMs)} ms ${direction}; its times are corrected for this.`;
      }),
    ),
  ].join('\n');
}

function section(title: string, sentences: readonly string[]): string[] {
  return sentences.length === 0 ? [] : [`${title}:`, ...sentences.map((text) => `  ${text}`)];
}
