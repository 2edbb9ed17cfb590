/**
 * @file What the forwarding bench asks of its peer processes, and what they answer, over the channel
 * of `node:child_process`.
 */
import type { Address } from '../../shared/common/address.js';

/** What a peer process is, given once at its start. */
export type PeerRole =
  /** Receives each datagram and sends it on, with `node:dgram` alone. */
  | { readonly type: 'relay'; readonly to: Address; readonly resolvesHost: boolean }
  /** Receives for all back ends, and counts. */
  | { readonly type: 'sink' }
  /** Receives for all back ends, and accepts every open. */
  | { readonly type: 'backend' }
  /** Sends established flows' datagrams as fast as it can. */
  | { readonly type: 'sender'; readonly flowCount: number; readonly backendCount: number }
  /** Opens new flows at a steady rate. */
  | { readonly type: 'opener' }
  /** Feeds the decision step alone, and measures its memory. */
  | { readonly type: 'memory' };

/** One request to a peer. */
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

/** Datagrams received so far. */
export interface CountResult {
  readonly received: number;
  /** On the clock of the peer, in milliseconds. */
  readonly atMs: number;
}

/** What a sender did. */
export interface SendResult {
  readonly sent: number;
}

/** What came of new flows. */
export interface OpenResult {
  readonly offered: number;
  readonly accepted: number;
  /** Refusals by error kind. */
  readonly refused: Readonly<Record<string, number>>;
  readonly unanswered: number;
  /** Accepted opens a second while the opener ran. */
  readonly acceptedPerSecond: number;
  /** From the open to its answer, in milliseconds. */
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** What came of new flows at a balancer. */
export interface NewFlowFigures extends OpenResult {
  readonly backendCount: number;
  /** Processor time of the balancer for one open offered, in microseconds. */
  readonly processorMicrosecondsPerOpen: number;
}

/** Memory after passing that many established flows, in bytes of heap in use after collection. */
export interface MemoryResult {
  readonly flowCount: number;
  readonly bytesPerFlow: number;
  readonly bytesPerFlowOfTable: number;
}
