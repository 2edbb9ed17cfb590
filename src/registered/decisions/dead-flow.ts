/**
 * @file Whether the back end of an established flow is surely dead, so that its client may be told. A client that is
 * not told waits for its whole deadline, also where it could send its request again at once.
 *
 * No single source is proof: heartbeats are silent while a back end is cut off from control alone, and data is sent
 * again while it is slow, or a link loses. Two sources that do not share a path are needed: what control machines
 * say of its heartbeats, and a client whose data nobody takes.
 */
import type { KnownBackend } from '../ingress/known-backend.js';
import type { MechanismSwitches } from './mechanism-switches.js';

/** Data that a client has sent, and sends again where nobody has acknowledged it. */
export interface UnansweredData {
  /** How often it was sent again. */
  readonly repeats: number;
  /** When it came first, in milliseconds. */
  readonly sinceMs: number;
}

/** What is known of the back end of a flow that brings data. */
export interface DeadFlowEvidence {
  /** True where the control machine has just said that what it told is current. */
  readonly isFeedCurrent: boolean;
  /** True where a back end that is heard of has started at the same address since. */
  readonly isReplaced: boolean;
  readonly unanswered: UnansweredData;
}

/**
 * Clients send data again some 200, 600 and 1,400 ms after the first time. Back ends that lived, cut off from control
 * alone, while 3 % of the datagrams were lost: of some 172,000 simulated requests one repeat while they counted as dead
 * and two while they were silent reset 17 flows, two in both cases 3, three none, also with 10 % lost.
 */
const REPEATS_OF_PROOF = 3;

/**
 * @returns true where the back end can't answer any more; never on a word of the control machine or of a client alone
 */
export function isProvenDead(
  backend: KnownBackend,
  { isFeedCurrent, isReplaced, unanswered }: DeadFlowEvidence,
  policy: MechanismSwitches,
): boolean {
  if (policy.deadFlows === 'left' || !isFeedCurrent || backend.registration.liveness === 'alive') {
    return false;
  }
  const { repeats, sinceMs } = unanswered;
  if (backend.local.lastProgressAtMs > sinceMs) {
    // Some client has got something from it meanwhile.
    return false;
  }
  return repeats >= REPEATS_OF_PROOF || (backend.registration.liveness === 'dead' && isReplaced);
}
