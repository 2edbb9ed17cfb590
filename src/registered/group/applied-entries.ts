/**
 * @file Applies committed log entries and snapshots: updates the replicated state, queues the change for balancers,
 * replies to the call that proposed the entry, and returns the log line.
 */
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { currentMembership } from '../../shared/consensus/consensus-state.js';
import type { LogEntry } from '../../shared/consensus/log.js';
import { votersOf } from '../../shared/consensus/membership.js';
import type { DeclaredConfig } from '../declared/declared-config.js';
import type { GroupEffect } from './group-events.js';
import type { LeaderReply } from './group-messages.js';
import type { GroupState } from './group-state.js';
import { finishCall, outdatedOrder, type ReplyState } from './calls/leader-replies.js';
import type { WithConsensus } from './leadership.js';
import { decodeGroupCommand, type AppliedChange, type ConfigDocument } from './replicated-state.js';
import type { ZoneStatus } from './zone-orders.js';

/** State that committed entries change. */
export type AppliedState = ReplyState &
  Pick<GroupState, 'backendList' | 'configs' | 'consensus' | 'readmissions' | 'updates'>;

/**
 * Applies a committed entry.
 * @returns the effects: log lines, and the reply to the call that proposed the entry
 */
export function applyEntry(state: AppliedState, entry: LogEntry, nowMs: number): GroupEffect[] {
  const { content, index, term } = entry;
  if (content.type === 'membership') {
    state.updates.markControlsChanged();
    return [membershipDecision(state, index)];
  }
  if (content.type === 'no-op') {
    return [];
  }
  const change = state.replicated.apply(decodeGroupCommand(content.data));
  const decisions = publishChange(state, change, nowMs);
  const proposalId = state.calls.takeAppended(index, term);
  if (proposalId === undefined) {
    return decisions;
  }
  return [...decisions, ...finishCall(state, proposalId, replyToCommand(change))];
}

function membershipDecision({ consensus }: WithConsensus, index: number): GroupEffect {
  const membership = currentMembership(consensus);
  const members = membership.members.map(({ nodeId }) => nodeId).join(' ');
  const fields = { index, voters: votersOf(membership).length, members };
  return { type: 'decision', name: 'membership', fields };
}

function publishChange(state: AppliedState, applied: AppliedChange, nowMs: number): GroupEffect[] {
  return match(applied)
    .with({ type: 'config-changed' }, ({ document }) => configDecisions(state, document))
    .with({ type: 'departure-recorded' }, ({ departure }): GroupEffect[] => {
      state.updates.addDeparture(departure.backendId);
      return [{ type: 'decision', name: 'departure', fields: { ...departure } }];
    })
    .with({ type: 'zone-changed' }, ({ status }) => publishZoneChange(state, status, nowMs))
    .with({ type: 'order-outdated' }, ({ order }): GroupEffect[] => [
      { type: 'decision', name: 'order outdated', fields: { ...order } },
    ])
    .with({ type: 'nothing-changed' }, () => [])
    .exhaustive();
}

/** The previous configuration stays in force if the document can't be read, as may happen after a downgrade. */
function applyDocument(
  { configs, options }: Pick<GroupState, 'configs' | 'options'>,
  document: ConfigDocument,
): Result<DeclaredConfig, GroupEffect> {
  const { version } = document;
  return options
    .readDocument(document)
    .map((config) => {
      configs.apply(config);
      return config;
    })
    .mapErr(({ message }): GroupEffect => {
      const fields = { version, kept: configs.version, reason: message };
      return { type: 'decision', name: 'config unreadable', fields };
    });
}

function configDecisions(
  state: Pick<GroupState, 'configs' | 'options'>,
  document: ConfigDocument,
): GroupEffect[] {
  return applyDocument(state, document).match<GroupEffect[]>(
    ({ version, routes }) => [
      { type: 'decision', name: 'config in force', fields: { version, routes: routes.length } },
    ],
    (unreadable) => [unreadable],
  );
}

/** Publishes a zone change; not called for orders that were committed before this start. */
export function publishZoneChange(
  { readmissions, updates }: Pick<GroupState, 'readmissions' | 'updates'>,
  { zone, isEvacuated, orders }: ZoneStatus,
  nowMs: number,
): GroupEffect[] {
  if (isEvacuated) {
    readmissions.recordEvacuated(zone);
  } else {
    readmissions.recordReadmitted(zone, nowMs);
  }
  updates.markZonesChanged();
  const name = isEvacuated ? 'zone evacuated' : 'zone readmitted';
  return [{ type: 'decision', name, fields: { zone, orders } }];
}

function replyToCommand(change: AppliedChange): LeaderReply {
  return change.type === 'order-outdated'
    ? outdatedOrder(change.order.zone)
    : { type: 'committed' };
}

/**
 * Replaces the replicated state with a snapshot that the leader sent.
 */
export function restoreSnapshot(state: AppliedState, data: Uint8Array): GroupEffect[] {
  const { replicated, updates } = state;
  replicated.restore(data);
  const { config } = replicated;
  const read = config && applyDocument(state, config);
  replicated.allDepartures().forEach(({ backendId }) => updates.addDeparture(backendId));
  updates.markZonesChanged();
  state.backendList.requireSeeding();
  const fields = { version: config?.version };
  const decision: GroupEffect = { type: 'decision', name: 'snapshot taken over', fields };
  return read?.isErr() === true ? [read.error, decision] : [decision];
}
