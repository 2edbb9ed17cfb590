/**
 * @file Log lines of decisions: the prefix of the component, the name of the decision and its inputs as
 * `name=value`. Each line ends with the process uptime (`upMs`), which is monotonic.
 */
import { loggerFor, type Logger, type LogPart } from '../../shared/common/logger.js';

/** Inputs of a decision; those that are undefined are omitted. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

const loggers = new Map<LogPart, Logger>();

/** Writes the log line of a decision. */
export function logDecision(part: LogPart, name: string, fields: DecisionFields): void {
  logLine(part, name, formatFields(fields));
}

/** Writes the log line of a decision whose fields are already formatted. */
export function logLine(part: LogPart, name: string, fieldsText: string): void {
  const logger = loggers.get(part) ?? makeLogger(part);
  logger.info(`${name} ${fieldsText} upMs=${Math.round(performance.now())}`);
}

function makeLogger(part: LogPart): Logger {
  const logger = loggerFor(part);
  loggers.set(part, logger);
  return logger;
}

/** @returns the fields as `name=value`, separated by spaces; undefined fields are omitted */
export function formatFields(fields: DecisionFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

function formatValue(value: string | number | boolean | undefined): string {
  const text = String(value);
  return /[\s="]/.test(text) ? JSON.stringify(text) : text;
}
