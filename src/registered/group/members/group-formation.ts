/**
 * @file How a machine finds its group and leaves it, with no operator. The first members begin the group with one entry
 * that is the same on each. Any other machine announces itself to the seeds and to the members that it knows; a machine
 * that does not lead passes the announcement on to the leader. A voter that stops asks to be removed, where the group
 * can spare it. Who is admitted or removed is decided in member-changes.ts.
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
import { firstStorageId, memberName } from './member-identity.js';

/** What joining and leaving need of the machine. */
export type FormationState = Pick<
  GroupState,
  'options' | 'consensus' | 'clusterId' | 'announcements'
>;

/**
 * A voter that got nothing from its leader for so many election time-outs announces itself: its address may be another
 * one than the group knows. Not measured; with one time-out each late message would cause announcements.
 */
const LEADERLESS_ELECTION_TIMEOUTS = 2;

/**
 * @returns the event that begins a group, on each of its first members alike
 */
export function firstMembershipEvent(state: FormationState): ConsensusEvent | undefined {
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
 * Announces this machine while it is no voter or gets nothing from a leader.
 */
export function announceWhereDue(state: FormationState, nowMs: number): GroupEffect[] {
  const { consensus, options, announcements } = state;
  const { electionTimeoutMs } = options.timing.consensus;
  const isSettled =
    consensus.role.name === 'leader' ||
    (isVoter(consensus) &&
      nowMs - consensus.leaderContactAtMs < LEADERLESS_ELECTION_TIMEOUTS * electionTimeoutMs);
  if (isSettled || !announcements.startSending(nowMs)) {
    return [];
  }
  const message: PeerMessage = {
    type: 'announce',
    from: { nodeId: consensus.nodeId, storageId: consensus.storageId },
    linkAddress: options.linkAddress,
  };
  const known = otherMembers(state).map((member) => member.linkAddress);
  const addresses = [...announcements.seeds, ...known];
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
 * Records that a machine asks to be admitted, or passes that on to the leader.
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
 * @returns a request to the leader to remove this machine, where the group can spare it, so that it may stay away
 */
export function askToLeave(state: FormationState): GroupEffect[] {
  const { nodeId, storageId } = state.consensus;
  const leader = leaderAddress(state);
  if (leader === undefined || !hasSpareVoter(state)) {
    return [];
  }
  const message: PeerMessage = { type: 'leave', from: { nodeId, storageId } };
  return [{ type: 'send-peer', to: leader, message }];
}

/**
 * @returns the change for a voter that asks to be removed, where the group can spare it
 */
export function changeForLeaver(
  state: FormationState,
  { from }: Extract<PeerMessage, { type: 'leave' }>,
): MemberChange | undefined {
  const member = findMember(currentMembership(state.consensus), from.nodeId);
  return member?.role === 'voter' && hasSpareVoter(state)
    ? { type: 'remove-member', nodeId: from.nodeId }
    : undefined;
}
