/**
 * @file Suspicion timeouts. A suspected member that does not refute in time is declared dead. Dead and departed members
 * are retained for a while, so that old gossip does not revive them and the two sides of a partition can rejoin.
 */
import type { GossipState } from './gossip-state.js';
import { removeMember, setStatus } from './member-list.js';

/** How long a suspected member has to refute: four rounds of the failure detector. */
const SUSPICION_TIMEOUT_MS = 4_000;
/** How long members that are dead or have left are retained. */
const DEAD_MEMBER_RETENTION_MS = 600_000;
/** A gap between ticks beyond which this process counts as paused; the daemon ticks every 20 ms. */
const PAUSE_THRESHOLD_MS = 500;

/**
 * Drops the pending ping and extends all suspicions after a pause of this process, which may have delayed answers.
 */
export function compensateForPause(state: GossipState, nowMs: number): void {
  const gapMs = nowMs - (state.lastTickAtMs ?? nowMs);
  state.lastTickAtMs = nowMs;
  if (gapMs <= PAUSE_THRESHOLD_MS) {
    return;
  }
  state.pending = undefined;
  for (const entry of state.list.members.values()) {
    if (entry.record.status === 'suspect') {
      entry.changedAtMs += gapMs;
    }
  }
}

/**
 * Declares suspected members dead and removes dead and departed ones once their timeouts have elapsed.
 */
export function expireStatuses(state: GossipState, nowMs: number): void {
  for (const [id, { record, changedAtMs }] of state.list.members) {
    const ageMs = nowMs - changedAtMs;
    if (record.status === 'suspect' && ageMs >= SUSPICION_TIMEOUT_MS) {
      setStatus(state.list, id, 'dead', nowMs);
    } else if (record.status === 'dead' || record.status === 'left') {
      if (ageMs >= DEAD_MEMBER_RETENTION_MS) {
        removeMember(state.list, id);
      }
    }
  }
}
