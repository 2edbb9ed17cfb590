/**
 * @file A child process of a soak that can be started, killed, stopped, frozen and resumed. Its output is appended to a
 * log file.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const ENTRY_FILE = fileURLToPath(new URL('../../../../bin/amberlift.js', import.meta.url));

/** Command, settings and log file of a process. */
export interface SoakProcessOptions {
  readonly name: string;
  /** Subcommand of `amberlift`. */
  readonly command: string;
  readonly settings: Readonly<Record<string, unknown>>;
  /** Additional settings of the first start only. */
  readonly firstStartSettings?: Readonly<Record<string, unknown>>;
  readonly logFile: string;
}

/** A process that can be restarted. */
export interface SoakProcess {
  readonly name: string;
  readonly isRunning: boolean;
  start(): void;
  kill(): void;
  /** Requests a graceful stop. */
  terminate(): void;
  freeze(): void;
  resume(): void;
  /** Number of exits without a call of `kill` or `terminate`. */
  readonly unexpectedExits: number;
}

/** @returns a process that has not been started */
export function createSoakProcess(options: SoakProcessOptions): SoakProcess {
  const { name, command, settings, logFile } = options;
  let firstStartSettings = options.firstStartSettings ?? {};
  let child: ChildProcess | undefined;
  let isExitRequested = false;
  let unexpectedExits = 0;

  return {
    name,
    get isRunning() {
      return child !== undefined;
    },
    start,
    kill: () => requestExit('SIGKILL'),
    terminate: () => requestExit('SIGTERM'),
    freeze: () => child?.kill('SIGSTOP'),
    resume: () => child?.kill('SIGCONT'),
    get unexpectedExits() {
      return unexpectedExits;
    },
  };

  function start(): void {
    if (child !== undefined) {
      return;
    }
    const log = openSync(logFile, 'a');
    const flags = flagsOf({ ...settings, ...firstStartSettings });
    firstStartSettings = {};
    const started = spawn(process.execPath, [ENTRY_FILE, command, ...flags], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    isExitRequested = false;
    child = started;
    started.on('exit', () => {
      unexpectedExits += isExitRequested ? 0 : 1;
      child = child === started ? undefined : child;
    });
  }

  function requestExit(signal: 'SIGKILL' | 'SIGTERM'): void {
    isExitRequested = true;
    child?.kill(signal);
  }
}

function flagsOf(settings: Readonly<Record<string, unknown>>): string[] {
  return Object.entries(settings).flatMap(([key, value]) => [
    '--set',
    `${key}=${JSON.stringify(value)}`,
  ]);
}
