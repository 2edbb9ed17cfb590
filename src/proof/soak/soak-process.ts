/**
 * @file A real process of a soak: it is started, killed, stopped, frozen and woken by its process ID, and
 * its log goes to a file of its own.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const ENTRY = fileURLToPath(new URL('../../../../bin/amberlift.js', import.meta.url));

/** What a process is started with. */
export interface SoakProcessOptions {
  readonly name: string;
  /** Command of `amberlift`. */
  readonly command: string;
  readonly settings: Readonly<Record<string, unknown>>;
  /** Settings of the first start alone. */
  readonly firstSettings?: Readonly<Record<string, unknown>>;
  readonly logFile: string;
}

/** A process that can be started again and again. */
export interface SoakProcess {
  readonly name: string;
  readonly isRunning: boolean;
  start(): void;
  kill(): void;
  /** Asks it to stop; it may take its time. */
  terminate(): void;
  freeze(): void;
  wake(): void;
  /** Times that it ended though nobody had asked for it. */
  readonly unaskedEnds: number;
}

/** @returns a process that is not started yet */
export function createSoakProcess(options: SoakProcessOptions): SoakProcess {
  const { name, command, settings, logFile } = options;
  let firstSettings = options.firstSettings ?? {};
  let child: ChildProcess | undefined;
  let isEndAsked = false;
  let unaskedEnds = 0;

  return {
    name,
    get isRunning() {
      return child !== undefined;
    },
    start,
    kill: () => end('SIGKILL'),
    terminate: () => end('SIGTERM'),
    freeze: () => child?.kill('SIGSTOP'),
    wake: () => child?.kill('SIGCONT'),
    get unaskedEnds() {
      return unaskedEnds;
    },
  };

  function start(): void {
    if (child !== undefined) {
      return;
    }
    const log = openSync(logFile, 'a');
    const flags = flagsOf({ ...settings, ...firstSettings });
    firstSettings = {};
    const started = spawn(process.execPath, [ENTRY, command, ...flags], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    isEndAsked = false;
    child = started;
    started.on('exit', () => {
      unaskedEnds += isEndAsked ? 0 : 1;
      child = child === started ? undefined : child;
    });
  }

  function end(signal: 'SIGKILL' | 'SIGTERM'): void {
    isEndAsked = true;
    child?.kill(signal);
  }
}

function flagsOf(settings: Readonly<Record<string, unknown>>): string[] {
  return Object.entries(settings).flatMap(([key, value]) => [
    '--set',
    `${key}=${JSON.stringify(value)}`,
  ]);
}
