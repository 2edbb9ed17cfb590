/**
 * @file One line for each decision: the prefix of the part, the name of the decision, and its inputs as
 * `name=value`. Key and value were chosen over JSON since they cost less to write and read as sentences.
 * Each line ends with the time since the process started, on a clock that never jumps.
 */
import { loggerFor, type Logger, type LogPart } from '../../shared/common/logger.js';

/** The inputs of a decision. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

const loggers = new Map<LogPart, Logger>();

/**
 * Writes the line of a decision.
 */
export function logDecision(part: LogPart, name: string, fields: DecisionFields): void {
  logLine(part, name, formatFields(fields));
}

/**
 * Writes the line of a decision whose fields are text already.
 */
export function logLine(part: LogPart, name: string, fieldsText: string): void {
  const logger = loggers.get(part) ?? makeLogger(part);
  logger.info(`${name} ${fieldsText} upMs=${Math.round(performance.now())}`);
}

function makeLogger(part: LogPart): Logger {
  const logger = loggerFor(part);
  loggers.set(part, logger);
  return logger;
}

/**
 * @returns fields as `name=value`, those without a value left out
 */
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
