/**
 * @file Memory of whole nodes: each decodes the configuration for itself, as a process of its own does,
 * where hollow nodes of one world share what they have decoded.
 */
import { Packr } from 'msgpackr';
import { createBalancerState } from '../../../managed/balancer/balancer-state.js';
import { defaultBalancerOptions } from '../../../managed/balancer/balancer-options.js';
import { balancerStep } from '../../../managed/balancer/balancer-step.js';
import { seededRandom } from '../../../shared/common/random.js';
import { noMembers } from '../../../shared/consensus/membership.js';
import { createControlState } from '../../../managed/control/control-step.js';
import { snapshotOf } from '../../../managed/control/config-delta.js';
import type { ControlToBalancerMessage } from '../../../managed/dissemination/link-messages.js';
import { firstDisk, makeClusterState, type ConfigSize } from './first-state.js';
import { heapAfterCollection } from './heap.js';
import { LETTER_REGIONS, LETTER_ZONES, makePlaces } from './places.js';
import { controlAddress } from './surroundings.js';

const SAMPLES = 4;
const NOW_MS = 1_000;
const SEED = 1;

/** Bytes of the heap that one node takes, without the runtime itself. */
export interface NodeMemory {
  readonly config: ConfigSize;
  readonly balancerBytes: number;
  readonly controlBytes: number;
  /** The configuration as one message on a link. */
  readonly snapshotMessageBytes: number;
}

/**
 * Builds a few nodes of each kind and weighs them.
 */
export function measureNodeMemory(config: ConfigSize): NodeMemory {
  const places = makePlaces(LETTER_REGIONS, LETTER_ZONES);
  const state = makeClusterState(config, places);
  const position = { term: state.term, index: state.index };
  const message = { type: 'update', update: snapshotOf(state.routing, position) };
  const packr = new Packr({ useRecords: false });
  const encoded = Uint8Array.from(packr.pack(message));
  const disk = firstDisk('disk-1', state, noMembers);
  return {
    config,
    balancerBytes: bytesOfOne(() =>
      makeBalancer(packr.unpack(encoded) as ControlToBalancerMessage),
    ),
    controlBytes: bytesOfOne(() =>
      createControlState({
        nodeId: 'control-1',
        clusterKey: 'hollow-cluster-key',
        linkAddress: controlAddress(0),
        operatorAddress: controlAddress(0),
        peers: [],
        recovered: { ...disk, snapshot: disk.snapshot && { ...disk.snapshot } },
      }),
    ),
    snapshotMessageBytes: encoded.length,
  };
}

function makeBalancer(snapshot: ControlToBalancerMessage) {
  const state = createBalancerState({
    ...defaultBalancerOptions,
    balancerId: 'balancer-1',
    zone: 'zone-1',
    clusterKey: 'hollow-cluster-key',
    controlAddresses: [controlAddress(0)],
  });
  const context = { nowMs: NOW_MS, random: seededRandom(SEED) };
  balancerStep(state, { type: 'tick' }, context);
  balancerStep(state, { type: 'link-opened', linkId: 1 }, context);
  balancerStep(state, { type: 'link-message', linkId: 1, message: snapshot }, context);
  balancerStep(state, { type: 'tick' }, context);
  return state;
}

function bytesOfOne(make: () => object): number {
  const before = heapAfterCollection();
  const kept = Array.from({ length: SAMPLES }, make);
  const after = heapAfterCollection();
  return (after - before) / kept.length;
}
