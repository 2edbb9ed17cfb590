/**
 * @file What the machines of the simulated deployment share.
 */
import type { RandomSource } from '../../common/step.js';
import type { DecisionFields } from '../../daemon/decision-log.js';
import { defaultPolicy, type IngressPolicy } from '../../ingress/policy.js';
import type { Timing } from '../../group/timing.js';
import type { VirtualClock } from '../virtual-clock.js';
import type { IngressOracle } from './ingress-oracle.js';
import type { VirtualWires } from './virtual-wires.js';

/** Bounds of the simulated deployment; times in milliseconds. */
export interface IngressWorldOptions {
  readonly controlCount: number;
  readonly balancerCount: number;
  readonly backendCount: number;
  readonly clientCount: number;
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
  readonly policy: IngressPolicy;
}

/** The options of a small deployment of today. */
export const smallIngressWorld: IngressWorldOptions = {
  controlCount: 5,
  balancerCount: 4,
  backendCount: 6,
  clientCount: 12,
  tolerableLosses: 2,
  minimumCopies: 3,
  heartbeatIntervalMs: 1_200,
  drainBoundMs: 3_000,
  applyBoundMs: 3_000,
  contactMs: 4_000,
  catchUpMs: 4_000,
  flowLifetimeMs: 60_000,
  linkBytesPerMs: undefined,
  policy: defaultPolicy,
};

/** What is shared. */
export interface IngressWorldParts {
  readonly clock: VirtualClock;
  readonly random: RandomSource;
  readonly wires: VirtualWires;
  readonly oracle: IngressOracle;
  readonly options: IngressWorldOptions;
  readonly timing: Timing;
  /** Takes the line of a decision of a machine. */
  note(host: string, name: string, fields: DecisionFields): void;
}
