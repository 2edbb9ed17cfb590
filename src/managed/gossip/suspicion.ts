/**
 * @file When does a suspected member count as dead, and when is a dead one forgotten? A suspected member has a while
 * to refute by a higher incarnation; without it, it counts as dead. Dead and stopped members are remembered, so that
 * old gossip doesn't bring them back, and so that both sides of a partition find together again.
 *
 * Inputs: the status of each member with the time of its last change, in milliseconds on the clock of the step. After
 * a pause of this process, answers that came late count against nobody: suspicions are prolonged by the pause.
 */
import type { GossipState } from './gossip-state.js';
import { forgetMember, setStatus } from './member-list.js';

/**
 * How long a suspected member has to refute, in milliseconds: four rounds. Not measured; too short if members that
 * live turn dead and come back.
 */
const SUSPICION_MS = 4_000;
/** How long a dead member is remembered, in milliseconds: ten minutes. Not measured. */
const REMEMBER_DEAD_MS = 600_000;
/** A gap between ticks beyond which this process counts as paused, in milliseconds; the daemon ticks every 20 ms. */
const PAUSE_LIMIT_MS = 500;

/**
 * Drops the pending ping and prolongs suspicions after a pause of this process.
 */
export function compensatePause(state: GossipState, nowMs: number): void {
  const gapMs = nowMs - (state.lastTickAtMs ?? nowMs);
  state.lastTickAtMs = nowMs;
  if (gapMs <= PAUSE_LIMIT_MS) {
    return;
  }
  state.pending = undefined;
  for (const known of state.list.members.values()) {
    if (known.record.status === 'suspect') {
      known.changedAtMs += gapMs;
    }
  }
}

/**
 * Turns suspected members dead, and forgets dead ones, once their time is up.
 */
export function expireStatuses(state: GossipState, nowMs: number): void {
  for (const [id, { record, changedAtMs }] of state.list.members) {
    const ageMs = nowMs - changedAtMs;
    if (record.status === 'suspect' && ageMs >= SUSPICION_MS) {
      setStatus(state.list, id, 'dead', nowMs);
    } else if (record.status === 'dead' || record.status === 'left') {
      if (ageMs >= REMEMBER_DEAD_MS) {
        forgetMember(state.list, id);
      }
    }
  }
}
