/**
 * @file Processes of `amberlift` that the demo and the benches start, each ended by its own process ID.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const ENTRY = fileURLToPath(new URL('../../../../bin/amberlift.js', import.meta.url));
const READY_TIMEOUT_MS = 30_000;

/** A process of ours. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  /** The addresses that it announced. */
  readonly ready: Record<string, unknown>;
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code once the process has ended. */
  readonly exited: Promise<number | null>;
}

/**
 * Starts `amberlift` with the given arguments and waits until it announces that it is ready.
 * @param onLine called for each further line on its standard output
 */
export async function startProcess(
  name: string,
  args: readonly string[],
  onLine: (line: string) => void = () => undefined,
): Promise<ManagedProcess> {
  const child = spawnAmberlift(args);
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
  const exited = once(child, 'exit').then(([code]) => code as number | null);
  const ready = await firstLine(name, lines, exited);
  lines.on('line', onLine);
  return {
    name,
    pid: child.pid ?? 0,
    ready: JSON.parse(ready) as Record<string, unknown>,
    signal: (signal) => child.kill(signal),
    exited,
  };
}

/**
 * Runs `amberlift` with the given arguments to its end.
 * @param onLine called for each line on its standard output
 * @returns the exit code
 */
export async function runToEnd(
  args: readonly string[],
  onLine: (line: string) => void,
): Promise<number | null> {
  const child = spawnAmberlift(args);
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
  lines.on('line', onLine);
  const linesEnd = once(lines, 'close');
  const [code] = (await once(child, 'exit')) as [number | null];
  await linesEnd;
  return code;
}

function spawnAmberlift(args: readonly string[]): ChildProcess {
  return spawn(process.execPath, [ENTRY, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
}

async function firstLine(
  name: string,
  lines: ReturnType<typeof createInterface>,
  exited: Promise<number | null>,
): Promise<string> {
  const abort = new AbortController();
  const timer = setTimeout(() => abort.abort(), READY_TIMEOUT_MS);
  const line = once(lines, 'line', { signal: abort.signal }).then(([text]) => text as string);
  const ended = exited.then((code) => {
    throw new Error(`${name} ended with exit code ${code ?? 'none'} before it was ready.`);
  });
  try {
    return await Promise.race([line, ended]);
  } finally {
    clearTimeout(timer);
    ended.catch(() => undefined);
  }
}
