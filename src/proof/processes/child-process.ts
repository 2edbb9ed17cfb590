/**
 * @file Starts `amberlift` child processes for the demo, benchmarks and tests.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const CLI_PATH = fileURLToPath(new URL('../../../../bin/amberlift.js', import.meta.url));
const READY_TIMEOUT_MS = 30_000;

/** A running `amberlift` process. */
export interface AmberliftProcess {
  readonly name: string;
  readonly pid: number;
  /** First line of its standard output: the parsed JSON object, with its addresses. */
  readonly announcement: Record<string, unknown>;
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code once the process has ended. */
  readonly exited: Promise<number | null>;
}

/**
 * Starts `amberlift` and waits until it announces that it is ready.
 * @param onLine called for each line of standard output after the announcement
 */
export async function startProcess(
  name: string,
  args: readonly string[],
  onLine: (line: string) => void = () => undefined,
): Promise<AmberliftProcess> {
  const child = spawnAmberlift(args);
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
  const exited = once(child, 'exit').then(([code]) => code as number | null);
  const ready = await readFirstLine(name, lines, exited);
  lines.on('line', onLine);
  return {
    name,
    pid: child.pid ?? 0,
    announcement: JSON.parse(ready) as Record<string, unknown>,
    signal: (signal) => child.kill(signal),
    exited,
  };
}

/**
 * Runs `amberlift` until it exits.
 * @param onLine called for each line of standard output
 * @returns the exit code
 */
export async function runToCompletion(
  args: readonly string[],
  onLine: (line: string) => void,
): Promise<number | null> {
  const child = spawnAmberlift(args);
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
  lines.on('line', onLine);
  const linesClosed = once(lines, 'close');
  const [code] = (await once(child, 'exit')) as [number | null];
  await linesClosed;
  return code;
}

function spawnAmberlift(args: readonly string[]): ChildProcess {
  return spawn(process.execPath, [CLI_PATH, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
}

async function readFirstLine(
  name: string,
  lines: ReturnType<typeof createInterface>,
  exited: Promise<number | null>,
): Promise<string> {
  const abort = new AbortController();
  const timer = setTimeout(() => abort.abort(), READY_TIMEOUT_MS);
  const line = once(lines, 'line', { signal: abort.signal }).then(([text]) => text as string);
  const exitedEarly = exited.then((code) => {
    throw new Error(`${name} exited with code ${code ?? 'none'} before it was ready.`);
  });
  try {
    return await Promise.race([line, exitedEarly]);
  } finally {
    clearTimeout(timer);
    exitedEarly.catch(() => undefined);
  }
}
