/**
 * @file Reads the log lines of daemons back: what `src/registered/daemon/decision-log.ts` writes, with or without the
 * time and machine that a collector of logs put before it.
 */

/** One line of a log. */
export interface LogLine {
  /** The process that wrote it: the machine that a collector names, else the file. */
  readonly source: string;
  /** Number of the line in its file, from 1. */
  readonly number: number;
  /** The time of day that the process believed, in milliseconds since 1970. */
  readonly wallMs: number;
  /** Time since the process started, in milliseconds, on a clock that never jumps. */
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
 * @param fileName names the process where the line does not
 * @returns the line, or undefined where it is none of a daemon
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
    // A line that was cut off ends within a quoted value: the rest is still of use as it stands.
    return value;
  }
}
