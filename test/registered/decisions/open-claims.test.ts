/**
 * @file Two balancers that look up copies of one open at the same time, one of them after a pause, must not
 * both place it: the second back end would reset the flow.
 */
import t from 'tap';
import type { Address } from '../../../src/shared/common/address.js';
import { createOpenSharing } from '../../../src/registered/daemon/open-sharing.js';
import type { OpenMessage } from '../../../src/registered/group/message-schemas.js';
import { createIngressState } from '../../../src/registered/ingress/ingress-state.js';
import { createOpenClaims } from '../../../src/registered/decisions/open-claims.js';
import { defaultSwitches } from '../../../src/registered/decisions/mechanism-switches.js';
import {
  flowKeyOf,
  type FlowKey,
  type PacketView,
} from '../../../src/registered/ingress/packet-view.js';
import { timingFor } from '../../../src/registered/group/timing.js';
import { VirtualClock } from '../../../src/proof/virtual/virtual-clock.js';

const TOKEN = 77;
const WAIT_MS = 100;
const names = ['one', 'two', 'three', 'four'] as const;
type Name = (typeof names)[number];

const packet: PacketView = {
  sourceHost: 1,
  sourcePort: 2,
  destinationHost: 3,
  destinationPort: 4,
  token: 0,
  sequence: 1,
  acknowledged: 0,
  dataLength: 0,
  copyNumber: 0,
  isOpen: true,
  isFinish: false,
  isReset: false,
};
const KEY: FlowKey = flowKeyOf(packet);
const held = { datagram: new Uint8Array(), packet };

function addressOf(name: Name): Address {
  return { host: `10.0.3.${names.indexOf(name) + 1}`, port: 7_700 };
}

/** Balancers that know each other; datagrams between them take half a millisecond. */
function createBalancers(clock: VirtualClock) {
  const outcomes: string[] = [];
  const list = names.map((name) => ({ name, zone: 'zone-a', peerAddress: addressOf(name) }));
  const sharings = new Map<string, ReturnType<typeof createOpenSharing>>();
  for (const name of names) {
    const state = createIngressState({
      name,
      zone: 'zone-a',
      heartbeatIntervalMs: 1_200,
      flowLifetimeMs: 60_000,
      feed: timingFor({ contactMs: 4_000, applyMs: 3_000, drainMs: 3_000 }).feed,
      maxCountedFlows: 100,
      switches: defaultSwitches,
    });
    state.peers.applyChanges(list, []);
    const send = (to: Address, message: OpenMessage) =>
      clock.after(0.5, () => sharings.get(to.host)?.handleMessage(message));
    const sharing = createOpenSharing({
      state,
      replyTo: addressOf(name),
      nowMs: () => clock.nowMs,
      after: (delayMs, run) => clock.after(delayMs, run),
      sendToBalancer: send,
      onUnknown: () => {
        outcomes.push(`${name} places`);
        state.opens.remember(KEY, TOKEN, clock.nowMs);
        sharing.publishPlacement(KEY, TOKEN);
      },
      onClaimed: () => outcomes.push(`${name} leaves it`),
      onFound: () => outcomes.push(`${name} follows`),
    });
    sharings.set(addressOf(name).host, sharing);
  }
  return {
    outcomes,
    sharingOf: (name: Name) => {
      const sharing = sharings.get(addressOf(name).host);
      if (sharing === undefined) {
        throw new Error(name);
      }
      return sharing;
    },
  };
}

for (const delayMs of [0, 0.2, 1, 5, 20, 29, 31]) {
  for (const first of names) {
    for (const second of names.filter((name) => name !== first)) {
      t.test(`${first} asks, ${second} asks ${delayMs} ms later`, async (t) => {
        const clock = new VirtualClock();
        const { outcomes, sharingOf } = createBalancers(clock);
        sharingOf(first).askHolders(KEY, held);
        clock.after(delayMs, () => sharingOf(second).askHolders(KEY, held));
        await clock.runUntil(WAIT_MS);
        const placed = outcomes.filter((outcome) => outcome.endsWith('places'));
        t.ok(placed.length <= 1, outcomes.join(', '));
        t.equal(outcomes.length, 2, 'each lookup ends');
      });
    }
  }
}

t.test('follows a placement that arrives while holders are asked', async (t) => {
  const clock = new VirtualClock();
  const { outcomes, sharingOf } = createBalancers(clock);
  sharingOf('one').askHolders(KEY, held);
  sharingOf('one').handleMessage({ type: 'open-placed', key: KEY, token: TOKEN });
  t.same(outcomes, ['one follows']);
  await clock.runUntil(WAIT_MS);
  t.same(outcomes, ['one follows']);
});

t.test('a claim holds for its balancer and expires before the next copy', async (t) => {
  const claims = createOpenClaims();
  t.equal(claims.claim(KEY, addressOf('one'), 1_000), true);
  t.equal(claims.claim(KEY, addressOf('one'), 1_010), true, 'the same balancer again');
  t.equal(claims.claim(KEY, addressOf('two'), 1_050), false);
  t.equal(claims.claim(KEY, addressOf('two'), 1_200), true, 'the next copy');
});
