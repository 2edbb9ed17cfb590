/**
 * @file Roles, requests and results exchanged between the forwarding benchmark and its peer processes
 * over `node:child_process` IPC.
 */
import type { Address } from '../../shared/common/address.js';

/** Role of a peer process, passed at its start. */
export type PeerRole =
  /** Relays each datagram with plain `node:dgram`. */
  | { readonly type: 'relay'; readonly to: Address; readonly resolvesHost: boolean }
  /** Receives for all back ends and counts datagrams. */
  | { readonly type: 'sink' }
  /** Receives for all back ends and accepts all opens. */
  | { readonly type: 'backend' }
  /** Sends datagrams of established flows as fast as possible. */
  | { readonly type: 'sender'; readonly flowCount: number; readonly backendCount: number }
  /** Opens new flows at a constant rate. */
  | { readonly type: 'opener' }
  /** Measures the memory of `balancerStep` without sockets. */
  | { readonly type: 'memory' };

/** Request to a peer process. */
export type PeerRequest =
  | { readonly type: 'count' }
  | { readonly type: 'send'; readonly to: Address; readonly durationMs: number }
  | {
      readonly type: 'open';
      readonly to: Address;
      readonly opensPerSecond: number;
      readonly durationMs: number;
    }
  | { readonly type: 'measure-memory'; readonly flowCount: number };

/** Datagrams that a peer has received since its start. */
export interface CountResult {
  readonly received: number;
  /** Time on the peer's monotonic clock. */
  readonly atMs: number;
}

/** Datagrams that a sender sent for one request. */
export interface SendResult {
  readonly sent: number;
}

/** Outcomes of new flows; latencies are from the open to its acceptance. */
export interface OpenResult {
  readonly offered: number;
  readonly accepted: number;
  /** Refusals by error kind. */
  readonly refused: Readonly<Record<string, number>>;
  readonly unanswered: number;
  /** Accepted opens per second of sending time. */
  readonly acceptedPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Outcomes and processor cost of new flows at one balancer. */
export interface NewFlowFigures extends OpenResult {
  readonly backendCount: number;
  /** Processor time of the balancer per open offered. */
  readonly processorMicrosecondsPerOpen: number;
}

/** Heap growth per established flow, after garbage collection. */
export interface MemoryResult {
  readonly flowCount: number;
  readonly bytesPerFlow: number;
  readonly bytesPerFlowOfTable: number;
}
