/**
 * @file What all subcommands that run a process have in common: settings by file and flags, a line
 * on standard output once ready, and stopping on a signal.
 */
import type { CAC, Command } from 'cac';
import type { z } from 'zod';
import { setLogLevel, setLogSink, type LogLevel } from '../../shared/common/logger.js';
import { LineWriter, STANDARD_ERROR, writeTo } from '../../shared/daemon/line-writer.js';
import { onStopSignal } from '../../shared/daemon/stop-signal.js';
import { answerFor, exitCodes, type AmberliftError } from '../../shared/common/error-kinds.js';
import { loadSettingsAs } from '../../shared/settings/load-settings.js';
import { settingsSchema, type Settings } from '../../managed/settings/settings-schema.js';

/** Flags by which settings are given. */
export interface SettingsFlags {
  readonly config?: string;
  readonly set?: string[];
}

/**
 * Adds the flags by which settings are given.
 */
export function withSettingsFlags(cli: CAC, name: string, description: string): Command {
  return cli
    .command(name, description)
    .option('--config <file>', 'Settings file (YAML)')
    .option('--set <path=value>', 'Override one option of the file; may be repeated', {
      type: [String],
    });
}

/**
 * Loads the settings and sets the log level; on an error reports it and sets the exit code.
 * @returns the settings, or undefined after an error
 */
export function settingsFromFlags(flags: SettingsFlags): Settings | undefined {
  return settingsFromFlagsAs(settingsSchema, flags);
}

/**
 * The same for processes with settings of another form.
 * @returns the settings, or undefined after an error
 */
export function settingsFromFlagsAs<Schema extends z.ZodType<{ logLevel: LogLevel }>>(
  schema: Schema,
  flags: SettingsFlags,
): z.infer<Schema> | undefined {
  const overrides = (flags.set ?? []).filter((text) => text !== 'undefined');
  const settings = loadSettingsAs(schema, { file: flags.config, overrides });
  if (settings.isErr()) {
    reportError(settings.error);
    return undefined;
  }
  setLogLevel(settings.value.logLevel);
  return settings.value;
}

/**
 * Writes log lines without waiting for their reader, from now on.
 */
export function logWithoutWaiting(): void {
  const lines = new LineWriter(writeTo(STANDARD_ERROR));
  setLogSink((line) => lines.writeLine(line));
}

/**
 * Reports an error on standard error and sets the exit code that belongs to its kind.
 */
export function reportError(error: AmberliftError): void {
  process.stderr.write(`amberlift: ${error.kind}: ${error.message}\n`);
  process.exitCode = answerFor(error.kind).exitCode;
}

/**
 * Prints the line that says that a process is ready, with the addresses that it listens at.
 */
export function announceReady(addresses: object): void {
  process.stdout.write(`${JSON.stringify({ ready: true, ...addresses })}\n`);
}

/**
 * Stops on the first SIGTERM or SIGINT, ends at once on the second.
 * @param stop the graceful stop
 */
export function stopOnSignal(stop: () => Promise<void>): void {
  onStopSignal({
    signals: ['SIGTERM', 'SIGINT'],
    onStop: () => {
      stop().then(
        () => process.exit(exitCodes.success),
        () => process.exit(exitCodes.failure),
      );
    },
    onRepeat: () => process.exit(exitCodes.failure),
  });
}
