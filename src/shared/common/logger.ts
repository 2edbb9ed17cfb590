/**
 * @file Loggers, based on loglevel: one per component, writing to standard error unless another sink is set.
 */
import loglevel from 'loglevel';

/** The components that write logs; the name is part of each line. */
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

/** A component that writes logs. */
export type LogPart = (typeof logParts)[number];

/** The log levels accepted in flags and settings files. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'silent'] as const;

/** The minimum severity of the lines that are written. */
export type LogLevel = (typeof logLevels)[number];

/** The logger of one component. */
export type Logger = Pick<loglevel.Logger, 'trace' | 'debug' | 'info' | 'warn' | 'error'>;

/** Writes a line, which includes its line terminator. */
export type LogSink = (line: string) => void;

let sink: LogSink = (line) => {
  process.stderr.write(line);
};

/**
 * Replaces the sink of all loggers; daemons need one that never blocks on the reader of the log.
 */
export function setLogSink(newSink: LogSink): void {
  sink = newSink;
}

/**
 * @param part the component named in each line
 * @returns the logger of that component
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
 * Sets the level of all loggers; called once at startup, before the first logger is created.
 * @param level the minimum level that is written
 */
export function setLogLevel(level: LogLevel): void {
  loglevel.setLevel(level, false);
  for (const part of logParts) {
    loglevel.getLogger(part).setLevel(level, false);
  }
}
