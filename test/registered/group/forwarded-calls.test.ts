/** @file A reply of the leader belongs to the call for which it was made, also where its machine has started again. */
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
    throw new Error('No follower.');
  }
  return { state, nowMs: world.clock.nowMs };
}

/** Surroundings that keep what is sent to other control machines. */
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

t.test('a late reply to a call of the start before answers no call of this one', async (t) => {
  const { state, nowMs } = await formedFollower();
  let atMs = nowMs;
  const before: PeerMessage[] = [];
  const first = new GroupProcess(
    state,
    createEnvironment(before, () => atMs),
  );
  first.call({ type: 'deregister', backendId: 'backend-1' }, () => undefined);
  const lateId = forwardIdOf(before);

  // The machine starts again; its log and its leader are the same, and the first call is given up.
  atMs += state.options.requestDeadlineMs + 1;
  state.calls.takeExpired(atMs);
  const after: PeerMessage[] = [];
  const second = new GroupProcess(
    state,
    createEnvironment(after, () => atMs),
  );
  const replies: GroupReply[] = [];
  const document = { version: 1_000, text: '{}' };
  second.call({ type: 'declare-config', document }, (reply) => replies.push(reply));
  forwardIdOf(after);

  const answer = { type: 'committed' } as const;
  second.handlePeerMessage({ type: 'forward-reply', forwardId: lateId, answer });
  t.same(replies, [], 'nobody has committed the configuration');
});
