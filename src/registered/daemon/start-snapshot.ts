/**
 * @file Support for programs that start from a V8 startup snapshot: modules are loaded once, at build time, which
 * shortens the start of a process.
 *
 * The snapshot must not contain state of a process: no handles, random numbers, times or settings. The HTTP modules of
 * Node.js can't be part of a snapshot and are loaded after the start.
 */
import { startupSnapshot } from 'node:v8';

/**
 * Runs a program: immediately, or on the start of each process if a snapshot is being built.
 * @param main called once in each process
 */
export function startProgram(main: () => Promise<void>): void {
  const run = () => void main();
  if (startupSnapshot.isBuildingSnapshot()) {
    startupSnapshot.setDeserializeMainFunction(run);
  } else {
    run();
  }
}

/**
 * Runs a callback: immediately, or on the start of each process if a snapshot is being built. Callbacks run in the
 * order of registration, before the program.
 */
export function atProcessStart(run: () => void): void {
  if (startupSnapshot.isBuildingSnapshot()) {
    startupSnapshot.addDeserializeCallback(run);
  } else {
    run();
  }
}
