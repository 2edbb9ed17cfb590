/**
 * @file The size of the heap after a collection.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/**
 * Collects garbage.
 * @returns bytes of the heap, and of array buffers outside it, in use
 */
export function heapAfterCollection(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
