/**
 * @file Starts the peer processes of the forwarding bench and exchanges messages with them; reads their processor time and memory.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { PeerRequest, PeerRole } from './bench-forward-messages.js';

const SCRIPT = fileURLToPath(new URL('./bench-forward-peer.js', import.meta.url));
const CLOCK_TICK_MS = 10;
/** Position of `utime` in `/proc/PID/stat`, counted after the name's closing bracket. */
const USER_TIME_FIELD = 11;

/** A peer process. */
export interface Peer {
  readonly pid: number;
  /** UDP port that it receives at; 0 where it has none. */
  readonly port: number;
  /** Sends one request; the caller knows which result belongs to it. */
  ask<TResult>(request: PeerRequest): Promise<TResult>;
  /** Ends the process by its ID. */
  stop(): Promise<void>;
}

/**
 * Starts a peer and waits until it is ready.
 */
export async function startPeer(role: PeerRole): Promise<Peer> {
  const child = fork(SCRIPT, [JSON.stringify(role)], { execArgv: ['--expose-gc'] });
  const exited = once(child, 'exit');
  const [ready] = (await once(child, 'message')) as [{ port: number }];
  return {
    pid: child.pid ?? 0,
    port: ready.port,
    ask: async <TResult>(request: PeerRequest): Promise<TResult> => {
      const answer = once(child, 'message');
      child.send(request);
      const [result] = (await answer) as [TResult];
      return result;
    },
    stop: async () => {
      child.kill('SIGKILL');
      await exited;
    },
  };
}

/**
 * @returns processor time that a process has used, in milliseconds; a step is 10 ms
 */
export function processorTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
  return ticks * CLOCK_TICK_MS;
}

/**
 * @returns resident memory of a process, in bytes
 */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? Number.NaN);
  return kilobytes * 1_024;
}
