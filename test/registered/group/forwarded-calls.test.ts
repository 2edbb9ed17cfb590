/** @file Guards against a late reply to a call from before a restart that answers a call made after it. */
import t from 'tap';
import { seededRandom } from '../../../src/shared/common/random.js';
import {
  GroupProcess,
  type GroupEnvironment,
} from '../../../src/registered/daemon/group-process.js';
import type { GroupReply } from '../../../src/registered/group/group-events.js';
import type { PeerMessage } from '../../../src/registered/group/group-messages.js';
import type { GroupState } from '../../../src/registered/group/group-state.js';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const SEED = 1;
const FORMATION_MS = 6_000;

/** A follower of a group that has formed. */
async function formedFollower(): Promise<{ readonly state: GroupState; readonly nowMs: number }> {
  const world = new IngressWorld(SEED, smallIngressWorld);
  world.start();
  await world.run(FORMATION_MS);
  const states = world.controls.flatMap(({ process }) => process?.state ?? []);
  const state = states.find(({ consensus }) => consensus.role.name === 'follower');
  if (state === undefined) {
    throw new Error('The group has no follower.');
  }
  return { state, nowMs: world.clock.nowMs };
}

/** Environment that records the messages to other control machines. */
function createEnvironment(sent: PeerMessage[], nowMs: () => number): GroupEnvironment {
  const random = seededRandom(SEED);
  return {
    context: () => ({ nowMs: nowMs(), random }),
    sendToPeer: (_to, message) => void sent.push(message),
    sendFeed: () => undefined,
    persist: () => Promise.resolve(),
    logDecision: () => undefined,
  };
}

function forwardIdOf(sent: readonly PeerMessage[]): number {
  const forward = sent.find((message) => message.type === 'forward');
  if (forward?.type !== 'forward') {
    throw new Error('No call was forwarded.');
  }
  return forward.forwardId;
}

t.test('a late reply to a call of the previous start answers no call of this start', async (t) => {
  const { state, nowMs } = await formedFollower();
  let atMs = nowMs;
  const sentByFirst: PeerMessage[] = [];
  const first = new GroupProcess(
    state,
    createEnvironment(sentByFirst, () => atMs),
  );
  first.call({ type: 'deregister', backendId: 'backend-1' }, () => undefined);
  const lateId = forwardIdOf(sentByFirst);

  // The machine restarts with the same log and leader; the first call has timed out.
  atMs += state.options.requestDeadlineMs + 1;
  state.calls.takeExpired(atMs);
  const sentBySecond: PeerMessage[] = [];
  const second = new GroupProcess(
    state,
    createEnvironment(sentBySecond, () => atMs),
  );
  const replies: GroupReply[] = [];
  const document = { version: 1_000, text: '{}' };
  second.call({ type: 'declare-config', document }, (reply) => replies.push(reply));
  forwardIdOf(sentBySecond);

  const answer = { type: 'committed' } as const;
  second.handlePeerMessage({ type: 'forward-reply', forwardId: lateId, answer });
  t.same(replies, [], 'the configuration is not committed');
});
