/**
 * @file A control machine whose links have just fallen silent must not acknowledge the restart of a back end: nobody hears
 * of it, and the cold back end gets the flows of a warm one. A lone machine must acknowledge it, since no other one will.
 */
import { ok } from 'neverthrow';
import t from 'tap';
import { handleHeartbeat } from '../../../src/registered/group/calls/backend-calls.js';
import { startNumberOf } from '../../../src/registered/group/calls/forward-ids.js';
import { createGroupState, type GroupState } from '../../../src/registered/group/group-state.js';
import { widestTiming } from '../../../src/registered/group/timing.js';
import type { Member } from '../../../src/shared/consensus/membership.js';
import { recordOf } from '../decisions/backend-records.js';

const ADDRESS = { host: '127.0.0.1', port: 7_700 };
const LEADER_ADDRESS = { host: '127.0.0.2', port: 7_700 };
const LEADER: Member = {
  nodeId: 'leader',
  storageId: 'leader-disk',
  role: 'voter',
  linkAddress: LEADER_ADDRESS,
  operatorAddress: LEADER_ADDRESS,
};
const NOW_MS = 10_000;
const { heartbeatIntervalMs } = widestTiming.consensus;

/**
 * @returns a follower that is current, heard from another control machine `silentMs` ago, and knows the first start of back
 *   end 1
 */
function followerSilentFor(silentMs: number): GroupState {
  const state = createGroupState(
    {
      linkAddress: ADDRESS,
      zone: 'zone-a',
      zones: [],
      seeds: [ADDRESS],
      isFirstStart: true,
      tolerableLosses: 0,
      heartbeatIntervalMs: 1_200,
      forgetBackendAfterMs: 60_000,
      removeVoterAfterMs: 2_000,
      requestDeadlineMs: 850,
      readDocument: () => ok({ version: 1, routes: [], services: [], idleTimeoutMs: 1_000 }),
      timing: widestTiming,
      minimumCopies: 1,
    },
    { storageId: 'disk', snapshot: undefined, records: [] },
    startNumberOf(1),
  );
  state.registry.apply(recordOf(1), 0);
  state.consensus.leaderId = 'leader';
  state.consensus.leaderContactAtMs = NOW_MS - widestTiming.consensus.electionTimeoutMs;
  state.consensus.memberships = [{ index: 1, membership: { members: [LEADER] } }];
  state.heartbeats.recordPeerMessage(NOW_MS - silentMs);
  return state;
}

function replyTo(state: GroupState, id: string): string | undefined {
  const record = { ...recordOf(1), id, sequence: 2 };
  const heartbeat = { type: 'heartbeat', requestId: 1, record, isDraining: false } as const;
  const effects = handleHeartbeat(state, heartbeat, NOW_MS, () => []);
  const reply = effects.find(({ type }) => type === 'reply');
  return reply?.type === 'reply' ? reply.reply.type : undefined;
}

/** @returns a leader that is current and has heard nothing for a long time, with other members of these roles */
function silentLeader(otherRoles: readonly Member['role'][]): GroupState {
  const state = followerSilentFor(Number.POSITIVE_INFINITY);
  const { consensus } = state;
  consensus.role = {
    name: 'leader',
    progress: new Map(),
    termStartIndex: 1,
    round: 0,
    pendingReads: [],
    nextHeartbeatAtMs: NOW_MS,
    leadershipTransfer: undefined,
  };
  consensus.commitIndex = 1;
  consensus.leaderId = consensus.nodeId;
  const own: Member = { ...LEADER, nodeId: consensus.nodeId, linkAddress: ADDRESS };
  const others = otherRoles.map((role, index): Member => ({
    ...LEADER,
    nodeId: `other-${index}`,
    role,
  }));
  consensus.memberships = [{ index: 1, membership: { members: [own, ...others] } }];
  return state;
}

t.test('a leader that hears no other voter refuses a restart', async (t) => {
  t.equal(replyTo(silentLeader(['voter', 'voter']), 'backend-1#9900'), 'unavailable');
  t.equal(replyTo(silentLeader(['voter', 'learner']), 'backend-1#9900'), 'unavailable');
});

t.test('a lone machine registers a restart, also beside a dead learner', async (t) => {
  t.equal(replyTo(silentLeader([]), 'backend-1#9900'), 'accepted');
  t.equal(replyTo(silentLeader(['learner']), 'backend-1#9900'), 'accepted');
});

t.test('a restart is refused once nothing is heard from the other control machines', async (t) => {
  const state = followerSilentFor(2 * heartbeatIntervalMs + 1);
  t.equal(replyTo(state, 'backend-1#9900'), 'unavailable');
  t.equal(state.registry.get('backend-1#9900'), undefined, 'nothing is registered');
});

t.test('a restart is registered while others are heard, also without a leader', async (t) => {
  t.equal(replyTo(followerSilentFor(2 * heartbeatIntervalMs), 'backend-1#9900'), 'accepted');
});

t.test('heartbeats of a known start and of new back ends are accepted while current', async (t) => {
  const silentMs = widestTiming.consensus.electionTimeoutMs;
  t.equal(replyTo(followerSilentFor(silentMs), 'backend-1'), 'accepted');
  t.equal(replyTo(followerSilentFor(silentMs), 'backend-2'), 'accepted');
});
