/**
 * @file Shared code of the subcommands that run a daemon: settings from file and flags, the ready line
 * on standard output, and graceful stop on a signal.
 */
import type { CAC, Command } from 'cac';
import type { z } from 'zod';
import { setLogLevel, setLogSink, type LogLevel } from '../../shared/common/logger.js';
import { LineWriter, STANDARD_ERROR, writeTo } from '../../shared/daemon/line-writer.js';
import { onStopSignal } from '../../shared/daemon/stop-signal.js';
import { answerFor, exitCodes, type AmberliftError } from '../../shared/common/error-kinds.js';
import { loadSettingsAs } from '../../shared/settings/load-settings.js';
import { settingsSchema, type Settings } from '../../managed/settings/settings-schema.js';

/** Command-line flags for settings. */
export interface SettingsFlags {
  readonly config?: string;
  readonly set?: string[];
}

/** Adds a subcommand with the `--config` and `--set` flags. */
export function withSettingsFlags(cli: CAC, name: string, description: string): Command {
  return cli
    .command(name, description)
    .option('--config <file>', 'Settings file (YAML)')
    .option('--set <path=value>', 'Override one option of the file; may be repeated', {
      type: [String],
    });
}

/**
 * Loads the settings and sets the log level; reports errors and sets the exit code.
 * @returns the settings, or undefined after an error
 */
export function settingsFromFlags(flags: SettingsFlags): Settings | undefined {
  return settingsFromFlagsAs(settingsSchema, flags);
}

/**
 * Like `settingsFromFlags`, for a daemon with its own settings schema.
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

/** Switches the log to non-blocking writes, so that a slow reader of standard error cannot stall the daemon. */
export function useNonBlockingLog(): void {
  const lines = new LineWriter(writeTo(STANDARD_ERROR));
  setLogSink((line) => lines.writeLine(line));
}

/** Prints an error to standard error and sets the exit code of its kind. */
export function reportError(error: AmberliftError): void {
  process.stderr.write(`amberlift: ${error.kind}: ${error.message}\n`);
  process.exitCode = answerFor(error.kind).exitCode;
}

/** Prints the ready line, a JSON object with the addresses the daemon listens on. */
export function announceReady(addresses: object): void {
  process.stdout.write(`${JSON.stringify({ ready: true, ...addresses })}\n`);
}

/**
 * Stops gracefully on the first SIGTERM or SIGINT and exits immediately on the second.
 * @param stop graceful shutdown; a rejection sets the failure exit code
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
