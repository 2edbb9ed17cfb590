/**
 * @file Parses the log lines that `src/registered/daemon/decision-log.ts` writes, with or without a prefix (time and
 * machine) added by a log collector.
 */

/** A parsed log line. */
export interface LogLine {
  /** Name of the process: the machine from the collector's prefix, otherwise the file name. */
  readonly source: string;
  /** Line number in the file, from 1. */
  readonly number: number;
  /** Wall-clock time of the process, in milliseconds since the Unix epoch. */
  readonly wallMs: number;
  /** Monotonic time since the process started, in milliseconds. */
  readonly upMs: number | undefined;
  readonly part: string;
  /** Name of the decision, such as `placed`. */
  readonly name: string;
  readonly fields: ReadonlyMap<string, string>;
  readonly text: string;
}

const LINE_PATTERN =
  /^(?<before>.*?)(?<time>\d{4}-\d\d-\d\dT[\d:.]+Z) \w+ \[(?<part>[\w-]+)\] (?<rest>.*)$/;
const FIELD_PATTERN = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * @param fileName used as the source if the line has no collector prefix
 * @returns the parsed line, or undefined if no daemon wrote it
 */
export function parseLogLine(text: string, fileName: string, number: number): LogLine | undefined {
  const groups = LINE_PATTERN.exec(text)?.groups;
  const wallMs = Date.parse(groups?.time ?? '');
  if (groups === undefined || Number.isNaN(wallMs)) {
    return undefined;
  }
  const rest = groups.rest ?? '';
  const fields = new Map<string, string>();
  for (const [, name = '', value = ''] of rest.matchAll(FIELD_PATTERN)) {
    fields.set(name, unquote(value));
  }
  const firstField = /(^| )[A-Za-z]\w*=/.exec(rest)?.index ?? rest.length;
  const upMs = Number(fields.get('upMs') ?? Number.NaN);
  const collector = groups.before?.trim().split(/\s+/).at(-1) ?? '';
  return {
    source: collector === '' ? fileName : collector,
    number,
    wallMs,
    upMs: Number.isNaN(upMs) ? undefined : upMs,
    part: groups.part ?? '',
    name: rest.slice(0, firstField).trim(),
    fields,
    text: rest,
  };
}

function unquote(value: string): string {
  if (!value.startsWith('"')) {
    return value;
  }
  try {
    return JSON.parse(value) as string;
  } catch {
    // A truncated line may end inside a quoted value: keep the raw text.
    return value;
  }
}
