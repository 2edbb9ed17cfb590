/**
 * @file Decides whether the back end of an established flow is dead, so that its client may be reset rather
 * than wait for its deadline. It takes two independent sources: missing heartbeats, and unacknowledged
 * retransmissions or a live back end at the same address. Neither is proof alone: heartbeats are missed while a back end is
 * cut off from control machines only, and data is retransmitted while a back end is slow or a link loses packets.
 */
import type { KnownBackend } from '../ingress/known-backend.js';
import type { MechanismSwitches } from './mechanism-switches.js';

/** Data of a client that its back end has not acknowledged. */
export interface UnacknowledgedData {
  readonly retransmissions: number;
  /** When the data first arrived. */
  readonly sinceMs: number;
}

interface DeadFlowEvidence {
  /** False while this balancer may be cut off from control machines; liveness may then be out of date. */
  readonly isFeedCurrent: boolean;
  /** True if another back end with the same address is alive. */
  readonly isReplaced: boolean;
  readonly unacknowledged: UnacknowledgedData;
}

/**
 * Clients retransmit after about 200, 600 and 1,400 ms; two may be lost on the way to a live back end. With two as proof, living
 * flows are reset where 3 % of the datagrams are lost and the back end is cut off from control machines.
 */
const MIN_RETRANSMISSIONS = 3;

/** @returns true if the flow may be reset; false if only one source says that the back end is dead */
export function isProvenDead(
  backend: KnownBackend,
  { isFeedCurrent, isReplaced, unacknowledged }: DeadFlowEvidence,
  switches: MechanismSwitches,
): boolean {
  if (
    switches.deadFlows === 'left' ||
    !isFeedCurrent ||
    backend.registration.liveness === 'alive'
  ) {
    return false;
  }
  const { retransmissions, sinceMs } = unacknowledged;
  const { local, fleet } = backend;
  const lastSignAtMs = Math.max(local.lastProgressAtMs, fleet.lastSignsAtMs.unacknowledged);
  const hasProgressSince = lastSignAtMs > sinceMs;
  if (hasProgressSince) {
    return false;
  }
  return (
    retransmissions >= MIN_RETRANSMISSIONS ||
    (backend.registration.liveness === 'dead' && isReplaced)
  );
}
