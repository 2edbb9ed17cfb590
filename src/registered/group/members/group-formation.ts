/**
 * @file Group formation without an operator. The initial members bootstrap the group with an identical first entry. Other
 * machines announce themselves to the seeds and to known members, which pass the announcement on to the leader. A voter
 * that stops asks to be removed if the group can spare it. Admission and removal are decided in member-changes.ts.
 */
import { formatAddress, type Address } from '../../../shared/common/address.js';
import type { ConsensusEvent } from '../../../shared/consensus/consensus-events.js';
import { currentMembership, isVoter } from '../../../shared/consensus/consensus-state.js';
import {
  findMember,
  sortedMembership,
  type Member,
  type MemberChange,
} from '../../../shared/consensus/membership.js';
import type { GroupEffect } from '../group-events.js';
import type { PeerMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { leaderAddress, otherMembers } from '../leadership.js';
import { hasSpareVoter } from './member-changes.js';
import { initialStorageId, nodeIdOf } from './member-identity.js';

/** State that joining and leaving depend on. */
type FormationState = Pick<GroupState, 'options' | 'consensus' | 'clusterId' | 'announcements'>;

/** After this time without a leader a voter announces itself, since its address may have changed. */
const LEADERLESS_ELECTION_TIMEOUTS = 2;

/**
 * @returns the event that bootstraps the group, identical on all initial members; undefined on other machines
 */
export function bootstrapEvent(state: FormationState): ConsensusEvent | undefined {
  const { options, consensus, clusterId } = state;
  const isUninitialized = consensus.clusterId === undefined && consensus.log.last.index === 0;
  if (
    !options.isFirstStart ||
    !isUninitialized ||
    consensus.storageId !== initialStorageId(options.linkAddress)
  ) {
    return undefined;
  }
  const members = options.seeds.map((linkAddress): Member => ({
    nodeId: nodeIdOf(linkAddress, initialStorageId(linkAddress)),
    storageId: initialStorageId(linkAddress),
    role: 'voter',
    linkAddress,
    operatorAddress: linkAddress,
  }));
  return { type: 'bootstrap', clusterId, membership: sortedMembership(members) };
}

/**
 * Announces this machine while it is not a voter or has no contact with a leader.
 */
export function announceIfDue(state: FormationState, nowMs: number): GroupEffect[] {
  const { consensus, options, announcements } = state;
  const { electionTimeoutMs } = options.timing.consensus;
  const isActiveVoter =
    consensus.role.name === 'leader' ||
    (isVoter(consensus) &&
      nowMs - consensus.leaderContactAtMs < LEADERLESS_ELECTION_TIMEOUTS * electionTimeoutMs);
  if (isActiveVoter || !announcements.takeDue(nowMs)) {
    return [];
  }
  const message: PeerMessage = {
    type: 'announce',
    from: { nodeId: consensus.nodeId, storageId: consensus.storageId },
    linkAddress: options.linkAddress,
  };
  const memberAddresses = otherMembers(state).map((member) => member.linkAddress);
  const addresses = [...announcements.seeds, ...memberAddresses];
  return distinctAddresses(addresses, options.linkAddress).map((to) => ({
    type: 'send-peer',
    to,
    message,
  }));
}

function distinctAddresses(addresses: readonly Address[], ownAddress: Address): Address[] {
  const byAddressText = new Map(addresses.map((address) => [formatAddress(address), address]));
  byAddressText.delete(formatAddress(ownAddress));
  return [...byAddressText.values()];
}

/**
 * Records an announcement, or passes it on to the leader.
 */
export function handleAnnouncement(
  state: FormationState,
  message: Extract<PeerMessage, { type: 'announce' }>,
  nowMs: number,
): GroupEffect[] {
  const { from, linkAddress } = message;
  if (state.consensus.role.name === 'leader') {
    state.announcements.record({ ...from, linkAddress, announcedAtMs: nowMs });
    return [];
  }
  const leader = leaderAddress(state);
  const isFromLeader = leader !== undefined && formatAddress(leader) === formatAddress(linkAddress);
  return leader === undefined || isFromLeader ? [] : [{ type: 'send-peer', to: leader, message }];
}

/**
 * @returns a request to the leader to remove this machine, if the group can spare it
 */
export function requestRemoval(state: FormationState): GroupEffect[] {
  const { nodeId, storageId } = state.consensus;
  const leader = leaderAddress(state);
  if (leader === undefined || !hasSpareVoter(state)) {
    return [];
  }
  const message: PeerMessage = { type: 'leave', from: { nodeId, storageId } };
  return [{ type: 'send-peer', to: leader, message }];
}

/**
 * @returns the removal of a voter that asked for it, if the group can spare it
 */
export function changeForLeaveRequest(
  state: FormationState,
  { from }: Extract<PeerMessage, { type: 'leave' }>,
): MemberChange | undefined {
  const member = findMember(currentMembership(state.consensus), from.nodeId);
  return member?.role === 'voter' && hasSpareVoter(state)
    ? { type: 'remove-member', nodeId: from.nodeId }
    : undefined;
}
