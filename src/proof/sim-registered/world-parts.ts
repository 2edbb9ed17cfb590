/**
 * @file What the machines of the simulated deployment share: clock, wires, oracle, options; and what stand-ins need of them, so that the soak
 * can give them real ones.
 */
import type { Address } from '../../shared/common/address.js';
import type { RandomSource } from '../../shared/common/step.js';
import type { DecisionFields } from '../../registered/daemon/decision-log.js';
import type { SlowStartBounds } from '../../registered/decisions/slow-start.js';
import {
  defaultSwitches,
  type MechanismSwitches,
} from '../../registered/decisions/mechanism-switches.js';
import type { Timing } from '../../registered/group/timing.js';
import type { VirtualClock } from '../virtual/virtual-clock.js';
import type { IngressOracle, OracleBounds } from './ingress-oracle.js';
import type { VirtualWires } from '../virtual/virtual-wires.js';

/** Bounds of the simulated deployment; times in milliseconds. */
export interface IngressWorldOptions {
  readonly controlCount: number;
  readonly balancerCount: number;
  readonly backendCount: number;
  readonly clientCount: number;
  /** When clients send the packets of a request, each from its beginning on; a request of one is lost sooner. */
  readonly requestPartsAtMs: readonly number[];
  /** Disks that may be lost right after an acknowledgement. */
  readonly tolerableLosses: number;
  /** Copies that an acknowledgement waits for; one more than the losses, but in mutants. */
  readonly minimumCopies: number;
  readonly heartbeatIntervalMs: number;
  /** New flows may go to a back end for so long after it was acknowledged that it leaves. */
  readonly drainBoundMs: number;
  /** A configuration is in force everywhere this long after its acknowledgement. */
  readonly applyBoundMs: number;
  /** Machines hold no bound for so long after a disturbance. */
  readonly contactMs: number;
  /** A machine with an empty disk counts again this long after its start. */
  readonly catchUpMs: number;
  readonly flowLifetimeMs: number;
  /** What a balancer takes its link to carry, in bytes a millisecond; undefined for no pacing. */
  readonly linkBytesPerMs: number | undefined;
  readonly policy: MechanismSwitches;
  /** What a cold back end may be given; undefined for no bound. */
  readonly coldBounds: SlowStartBounds | undefined;
  /** How many requests a second a cold back end handles, as the operator declares it. */
  readonly coldRequestsPerS: number;
  /** A zone takes no new flow for so long after its evacuation was acknowledged. */
  readonly evacuationBoundMs: number;
}

/** The options of a small deployment of today. */
export const smallIngressWorld: IngressWorldOptions = {
  controlCount: 5,
  balancerCount: 4,
  backendCount: 6,
  clientCount: 12,
  requestPartsAtMs: [0, 4, 8],
  tolerableLosses: 2,
  minimumCopies: 3,
  heartbeatIntervalMs: 1_200,
  drainBoundMs: 3_000,
  applyBoundMs: 3_000,
  contactMs: 4_000,
  catchUpMs: 4_000,
  flowLifetimeMs: 60_000,
  linkBytesPerMs: undefined,
  policy: defaultSwitches,
  coldBounds: { excess: 1.5, slackPerS: 5 },
  coldRequestsPerS: 0,
  evacuationBoundMs: 4_000,
};

/** @returns what the oracle holds a deployment to */
export function oracleBoundsOf(options: IngressWorldOptions): OracleBounds {
  const { drainBoundMs, applyBoundMs, contactMs, evacuationBoundMs } = options;
  const { coldBounds, coldRequestsPerS } = options;
  const coldFlowsPerS = coldBounds && coldRequestsPerS * coldBounds.excess + coldBounds.slackPerS;
  return { drainBoundMs, applyBoundMs, contactMs, evacuationBoundMs, coldFlowsPerS };
}

/** Time as stand-ins need it: virtual in the simulator, real beside real processes. */
export interface StandInClock {
  readonly nowMs: number;
  after(delayMs: number, run: () => void): void;
}

/** Datagrams as stand-ins need them. */
export interface StandInWires {
  onDatagram(address: Address, handler: (bytes: Uint8Array) => void): void;
  sendDatagram(fromHost: string, to: Address, bytes: Uint8Array): void;
  hostStarted(host: string): void;
  /** Nothing reaches the addresses of a host any more. */
  hostDied(host: string): void;
}

/** What stand-ins for clients, back ends and operators share. */
export interface StandInParts {
  readonly clock: StandInClock;
  readonly random: RandomSource;
  readonly wires: StandInWires;
  readonly oracle: IngressOracle;
  readonly options: IngressWorldOptions;
}

/** What is shared in the simulator. */
export interface IngressWorldParts extends StandInParts {
  readonly clock: VirtualClock;
  readonly wires: VirtualWires;
  readonly timing: Timing;
  /** Takes the line of a decision of a machine. */
  note(host: string, name: string, fields: DecisionFields): void;
}
