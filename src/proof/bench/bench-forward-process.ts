/**
 * @file Starts and controls the peer processes of the forwarding benchmark, and reads processor time and
 * memory of processes from /proc.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { PeerRequest, PeerRole } from './bench-forward-messages.js';

const SCRIPT = fileURLToPath(new URL('./bench-forward-peer.js', import.meta.url));
const CLOCK_TICK_MS = 10;
/** Index of `utime` in `/proc/PID/stat`, counted after the process name. */
const USER_TIME_FIELD = 11;

/** Handle of a peer process. */
export interface Peer {
  readonly pid: number;
  /** UDP port that it receives on, or 0 if it has none. */
  readonly port: number;
  /** Sends a request and resolves with the next message; only one request may be pending. */
  request<TResult>(request: PeerRequest): Promise<TResult>;
  /** Kills the process and waits until it has exited. */
  stop(): Promise<void>;
}

/** Starts a peer process and waits until it is ready. */
export async function startPeer(role: PeerRole): Promise<Peer> {
  const child = fork(SCRIPT, [JSON.stringify(role)], { execArgv: ['--expose-gc'] });
  const exited = once(child, 'exit');
  const [ready] = (await once(child, 'message')) as [{ port: number }];
  return {
    pid: child.pid ?? 0,
    port: ready.port,
    request: async <TResult>(request: PeerRequest): Promise<TResult> => {
      const response = once(child, 'message');
      child.send(request);
      const [result] = (await response) as [TResult];
      return result;
    },
    stop: async () => {
      child.kill('SIGKILL');
      await exited;
    },
  };
}

/** @returns processor time of a process in milliseconds, with a resolution of 10 ms */
export function processorTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
  return ticks * CLOCK_TICK_MS;
}

/** @returns resident memory of a process in bytes */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? Number.NaN);
  return kilobytes * 1_024;
}
