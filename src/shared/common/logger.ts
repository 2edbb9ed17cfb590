/**
 * @file Logs: loglevel, written to standard error as short sentences with a fixed prefix for each part.
 */
import loglevel from 'loglevel';

/** The parts of the system that write logs; each has one fixed prefix. */
const logParts = [
  'balancer',
  'control',
  'consensus',
  'membership',
  'health',
  'fabric',
  'backend',
  'caller',
  'demo',
  'fleet',
  'simulator',
  'ctl',
] as const;

/** A part of the system that writes logs. */
export type LogPart = (typeof logParts)[number];

/** The log levels that a flag or a settings file may name. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'silent'] as const;

/** A log level. */
export type LogLevel = (typeof logLevels)[number];

/** A logger of one part. */
export type Logger = Pick<loglevel.Logger, 'trace' | 'debug' | 'info' | 'warn' | 'error'>;

/** Writes a line, given with its end. */
export type LogSink = (line: string) => void;

let sink: LogSink = (line) => {
  process.stderr.write(line);
};

/**
 * Sends all lines elsewhere from now on; daemons must not wait for the reader of their lines.
 */
export function setLogSink(newSink: LogSink): void {
  sink = newSink;
}

/**
 * @param part the part whose prefix each line carries
 * @returns the logger of that part
 */
export function loggerFor(part: LogPart): Logger {
  const logger = loglevel.getLogger(part);
  logger.methodFactory = (level) => (message: unknown) => {
    sink(`${new Date().toISOString()} ${level} [${part}] ${String(message)}\n`);
  };
  logger.setLevel(loglevel.getLevel());
  return logger;
}

/**
 * Sets the level of all parts; called once at start, before the first logger is made.
 * @param level the lowest level that is written
 */
export function setLogLevel(level: LogLevel): void {
  loglevel.setLevel(level, false);
  for (const part of logParts) {
    loglevel.getLogger(part).setLevel(level, false);
  }
}
