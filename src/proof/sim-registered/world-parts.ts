/**
 * @file Shared parts of the simulated deployment: clock, network, oracle and options. Stand-ins depend on interfaces that
 * the soak implements with real time and sockets.
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

/** Options of the simulated deployment; times in milliseconds. */
export interface IngressWorldOptions {
  readonly controlCount: number;
  readonly balancerCount: number;
  readonly backendCount: number;
  readonly clientCount: number;
  /** Send times of the packets of a request, relative to its start. */
  readonly requestPartsAtMs: readonly number[];
  /** Number of disks that may be lost right after an acknowledgement. */
  readonly tolerableLosses: number;
  /** Copies required for an acknowledgement: one more than the tolerable losses, except in mutants. */
  readonly minimumCopies: number;
  readonly heartbeatIntervalMs: number;
  /** Maximum time for which a back end may get new flows after its departure was acknowledged. */
  readonly drainBoundMs: number;
  /** Maximum time until an acknowledged configuration is applied everywhere. */
  readonly applyBoundMs: number;
  /** Time after a disturbance during which the time bounds do not apply. */
  readonly contactMs: number;
  /** Time after its start until a control machine with an empty disk has caught up. */
  readonly catchUpMs: number;
  readonly flowLifetimeMs: number;
  /** Link bandwidth to which balancers pace their output, in bytes per millisecond; undefined for no pacing. */
  readonly linkBytesPerMs: number | undefined;
  readonly policy: MechanismSwitches;
  /** Slow-start bounds of cold back ends; undefined for no bound. */
  readonly coldBounds: SlowStartBounds | undefined;
  /** Declared capacity of a cold back end in requests per second. */
  readonly coldRequestsPerS: number;
  /** Maximum time for which a zone may get new flows after its evacuation was acknowledged. */
  readonly evacuationBoundMs: number;
}

/** The options of a small deployment. */
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

/** @returns the bounds that the oracle checks for these options */
export function oracleBoundsOf(options: IngressWorldOptions): OracleBounds {
  const { drainBoundMs, applyBoundMs, contactMs, evacuationBoundMs } = options;
  const { coldBounds, coldRequestsPerS } = options;
  const coldFlowsPerS = coldBounds && coldRequestsPerS * coldBounds.excess + coldBounds.slackPerS;
  return { drainBoundMs, applyBoundMs, contactMs, evacuationBoundMs, coldFlowsPerS };
}

/** The clock of stand-ins: virtual in the simulator, real in the soak. */
export interface StandInClock {
  readonly nowMs: number;
  after(delayMs: number, run: () => void): void;
}

/** The datagram network of stand-ins. */
export interface StandInWires {
  onDatagram(address: Address, handler: (bytes: Uint8Array) => void): void;
  sendDatagram(fromHost: string, to: Address, bytes: Uint8Array): void;
  hostStarted(host: string): void;
  /** Unbinds all addresses of a host. */
  hostDied(host: string): void;
}

/** Dependencies of stand-ins for clients, back ends and operators. */
export interface StandInParts {
  readonly clock: StandInClock;
  readonly random: RandomSource;
  readonly wires: StandInWires;
  readonly oracle: IngressOracle;
  readonly options: IngressWorldOptions;
}

/** Dependencies of all simulated machines. */
export interface IngressWorldParts extends StandInParts {
  readonly clock: VirtualClock;
  readonly wires: VirtualWires;
  readonly timing: Timing;
  /** Records a decision of a machine in the log. */
  logDecision(host: string, name: string, fields: DecisionFields): void;
}
