/**
 * @file How the group forms, grows and repairs itself with no hand. A machine that belongs to no group
 * announces itself to the seeds and to the members that it knows; the leader takes it in as a learner,
 * makes it a voter once it has caught up, and removes voters that are not needed any more.
 *
 * A machine with an empty disk is another member than the one that it was. It takes the place of its
 * former self in one step, which is safe because that one can never vote again. A machine that is only
 * silent is removed only while more voters than needed remain, since it may come back.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import {
  currentMembership,
  isVoter,
  type LeaderRole,
} from '../../shared/consensus/consensus-state.js';
import {
  findMember,
  sortedMembership,
  votersOf,
  type Member,
  type MemberChange,
} from '../../shared/consensus/membership.js';
import type { GroupEffect } from './group-events.js';
import type { PeerMessage } from './group-messages.js';
import {
  firstStorageId,
  leaderAddress,
  memberName,
  otherMembers,
  type GroupState,
} from './group-state.js';

const ANNOUNCE_INTERVAL_MS = 300;
/** An announcement counts for so long. */
const ANNOUNCEMENT_LIFETIME_MS = 1_500;
/** A learner that is silent for so long is given up. */
const LEARNER_SILENT_MS = 3_000;
/** More voters than this cost more than they bring. */
const MAX_VOTERS = 9;

/**
 * @returns the event that begins a group, on each of its first members alike
 */
export function firstMembershipEvent(state: GroupState): ConsensusEvent | undefined {
  const { options, consensus, clusterId } = state;
  const isBlank = consensus.clusterId === undefined && consensus.log.last.index === 0;
  if (
    !options.isFirstStart ||
    !isBlank ||
    consensus.storageId !== firstStorageId(options.linkAddress)
  ) {
    return undefined;
  }
  const members = options.seeds.map((linkAddress): Member => ({
    nodeId: memberName(linkAddress, firstStorageId(linkAddress)),
    storageId: firstStorageId(linkAddress),
    role: 'voter',
    linkAddress,
    operatorAddress: linkAddress,
  }));
  return { type: 'bootstrap', clusterId, membership: sortedMembership(members) };
}

/**
 * @returns true where a machine with an empty disk is one of those with which the group begins
 */
export function isFirstMember(
  linkAddress: Address,
  seeds: readonly Address[],
  isFirstStart: boolean,
): boolean {
  const own = formatAddress(linkAddress);
  return isFirstStart && seeds.some((seed) => formatAddress(seed) === own);
}

/**
 * Announces this machine while it is no voter or hears from no leader.
 */
export function announceWhereDue(state: GroupState, nowMs: number): GroupEffect[] {
  const { consensus, options } = state;
  const isSettled =
    consensus.role.name === 'leader' ||
    (isVoter(consensus) &&
      nowMs - consensus.heardFromLeaderAtMs < 2 * options.timing.consensus.electionTimeoutMs);
  if (isSettled || state.isStopping || nowMs < state.nextAnnounceAtMs) {
    return [];
  }
  state.nextAnnounceAtMs = nowMs + ANNOUNCE_INTERVAL_MS;
  const message: PeerMessage = {
    type: 'announce',
    from: { nodeId: consensus.nodeId, storageId: consensus.storageId },
    linkAddress: options.linkAddress,
  };
  const addresses = [...state.seeds, ...otherMembers(state).map((member) => member.linkAddress)];
  return distinctAddresses(addresses, options.linkAddress).map((to) => ({
    type: 'send-peer',
    to,
    message,
  }));
}

function distinctAddresses(addresses: readonly Address[], own: Address): Address[] {
  const byText = new Map(addresses.map((address) => [formatAddress(address), address]));
  byText.delete(formatAddress(own));
  return [...byText.values()];
}

/**
 * Notes that a machine asks to be taken in; one that is not the leader passes it on.
 */
export function handleAnnouncement(
  state: GroupState,
  message: Extract<PeerMessage, { type: 'announce' }>,
  nowMs: number,
): GroupEffect[] {
  const { from, linkAddress } = message;
  if (state.consensus.role.name === 'leader') {
    state.announced.set(from.nodeId, { ...from, linkAddress, announcedAtMs: nowMs });
    return [];
  }
  const leader = leaderAddress(state);
  const isOwn = leader !== undefined && formatAddress(leader) === formatAddress(linkAddress);
  return leader === undefined || isOwn ? [] : [{ type: 'send-peer', to: leader, message }];
}

/**
 * @returns the next change of the membership that a leader should make, one at a time
 */
export function nextMemberChange(state: GroupState, nowMs: number): MemberChange | undefined {
  const { consensus } = state;
  const { role, commitIndex, memberships } = consensus;
  const isPending = (memberships.at(-1)?.index ?? 0) > commitIndex;
  if (role.name !== 'leader' || isPending || commitIndex < role.termStartIndex) {
    return undefined;
  }
  return (
    learnerToPromote(state, role) ??
    memberToAdd(state, nowMs) ??
    voterToRemove(state, role, nowMs) ??
    learnerToRemove(state, role, nowMs)
  );
}

function learnerToPromote(state: GroupState, role: LeaderRole): MemberChange | undefined {
  const { consensus } = state;
  const { members } = currentMembership(consensus);
  const ready = members.find(({ nodeId, role: memberRole }) => {
    const progress = role.progress.get(nodeId);
    const hasAllCommitted =
      progress?.mode === 'replicate' && progress.matchIndex >= consensus.commitIndex;
    return memberRole === 'learner' && hasAllCommitted;
  });
  if (ready === undefined) {
    return undefined;
  }
  const former = members.find(
    (member) => member.role === 'voter' && isSameMachine(member, ready.linkAddress),
  );
  if (former !== undefined) {
    return { type: 'replace-member', nodeId: ready.nodeId, lostNodeId: former.nodeId };
  }
  const hasRoom = votersOf(currentMembership(consensus)).length < MAX_VOTERS;
  return hasRoom ? { type: 'promote-member', nodeId: ready.nodeId } : undefined;
}

function memberToAdd(state: GroupState, nowMs: number): MemberChange | undefined {
  const membership = currentMembership(state.consensus);
  for (const [nodeId, machine] of state.announced) {
    const isKnown = findMember(membership, nodeId) !== undefined;
    if (isKnown || nowMs - machine.announcedAtMs > ANNOUNCEMENT_LIFETIME_MS) {
      state.announced.delete(nodeId);
      continue;
    }
    const formerLearner = membership.members.find(
      (member) => member.role === 'learner' && isSameMachine(member, machine.linkAddress),
    );
    if (formerLearner !== undefined) {
      return { type: 'remove-member', nodeId: formerLearner.nodeId };
    }
    const { storageId, linkAddress } = machine;
    return {
      type: 'add-member',
      member: { nodeId, storageId, linkAddress, operatorAddress: linkAddress },
    };
  }
  return undefined;
}

/** Removing pays only where it makes the quorum smaller, and never below what losses ask for. */
function voterToRemove(
  state: GroupState,
  role: LeaderRole,
  nowMs: number,
): MemberChange | undefined {
  const { removeVoterAfterMs } = state.options;
  const silent = votersOf(currentMembership(state.consensus)).find(({ nodeId }) => {
    const heardAtMs = role.progress.get(nodeId)?.heardAtMs ?? nowMs;
    return nodeId !== state.consensus.nodeId && nowMs - heardAtMs > removeVoterAfterMs;
  });
  return silent !== undefined && hasSpareVoter(state)
    ? { type: 'remove-member', nodeId: silent.nodeId }
    : undefined;
}

/**
 * @returns true where the group has more voters than it needs to bear the losses it must
 */
export function hasSpareVoter(state: GroupState): boolean {
  const needed = 2 * state.options.tolerableLosses + 1;
  return votersOf(currentMembership(state.consensus)).length > needed;
}

function learnerToRemove(
  state: GroupState,
  role: LeaderRole,
  nowMs: number,
): MemberChange | undefined {
  const silent = currentMembership(state.consensus).members.find(({ nodeId, role: memberRole }) => {
    const heardAtMs = role.progress.get(nodeId)?.heardAtMs ?? nowMs;
    return memberRole === 'learner' && nowMs - heardAtMs > LEARNER_SILENT_MS;
  });
  return silent === undefined ? undefined : { type: 'remove-member', nodeId: silent.nodeId };
}

function isSameMachine(member: Member, linkAddress: Address): boolean {
  return formatAddress(member.linkAddress) === formatAddress(linkAddress);
}
