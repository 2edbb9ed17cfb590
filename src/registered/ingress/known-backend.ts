/**
 * @file State of one start of a back end at a balancer. Each part is changed by one module only:
 *
 * - the identity is constant;
 * - `registration` and `fleet` are changed by the back end table, from the feed;
 * - `local` is changed by the flow activities, from client packets.
 */
import { Buffer } from 'node:buffer';
import type { Address } from '../../shared/common/address.js';
import type { MechanismSwitches } from '../decisions/mechanism-switches.js';
import type { FleetSuspicion } from '../decisions/shared-evidence.js';
import type { SuspicionKind } from '../load-exchange/suspicion-rows.js';
import type { BackendRecord, DepartureKind } from '../registry/backend-record.js';
import { startOf, type BackendStart } from '../registry/backend-start.js';
import { plainTokenOf, tokenOf } from '../registry/backend-token.js';
import { createLocalActivity, type LocalActivity } from './local-activity.js';
import { createRegistration, type Registration } from './registration.js';

/** Suspicions of all balancers on one back end, this one included; empty unless they share evidence. */
export type FleetSuspicions = Readonly<Partial<Record<SuspicionKind, FleetSuspicion>>>;

/** Totals over the reports of all other balancers on one back end, computed by control machines. */
interface FleetLoad {
  /** Estimated requests in progress. */
  busy: number;
  /** Flows whose clients retransmit unacknowledged data. */
  stalled: number;
  /** Answers of usual size, decayed by age and thus fractional. */
  answered: number;
  /** Total latency of these answers, decayed likewise, in milliseconds. */
  answerMs: number;
  /** Answers far below the usual size of their route, decayed likewise. */
  short: number;
  suspicions: FleetSuspicions;
  /** Last signs of life at other balancers that refuted a suspicion, in milliseconds; minus infinity for never. */
  readonly lastSignsAtMs: Record<SuspicionKind, number>;
}

/** Identity of one start of a back end. */
interface BackendIdentity {
  readonly id: string;
  readonly start: BackendStart;
  readonly service: string;
  readonly zone: string;
  readonly address: Address;
  /** Instance number, 8 bytes, prepended to packets to this back end. */
  readonly instanceBytes: Uint8Array;
  /** Identifies the back end in packets of established flows; never 0. */
  readonly token: number;
  /** Token without the start, as assigned by balancers that do not support starts. */
  readonly plainToken: number;
}

/** One start of a back end; read-only view. */
export interface KnownBackend extends BackendIdentity {
  readonly registration: Readonly<Registration>;
  readonly fleet: Readonly<FleetLoad>;
  readonly local: LocalActivity;
}

/** Writable view of a back end, for the back end table. */
export interface MutableBackend extends BackendIdentity {
  readonly registration: Registration;
  readonly fleet: FleetLoad;
  readonly local: LocalActivity;
}

const INSTANCE_ID_BYTES = 8;

/**
 * @param receivedAtMs time at which the heartbeat with the record arrived
 * @param departure departure that was received before the record, if any
 * @param tokens whether the token identifies the start
 */
export function createBackend(
  record: BackendRecord,
  receivedAtMs: number,
  departure: DepartureKind | undefined,
  tokens: MechanismSwitches['starts'],
): MutableBackend {
  const plainToken = plainTokenOf(record);
  return {
    id: record.id,
    start: startOf(record.id),
    service: record.service,
    zone: record.zone,
    address: record.address,
    instanceBytes: Buffer.from(record.instanceNumber, 'hex').subarray(0, INSTANCE_ID_BYTES),
    token: tokens === 'named' ? tokenOf(record) : plainToken,
    plainToken,
    registration: createRegistration(record, receivedAtMs, departure),
    fleet: {
      busy: 0,
      stalled: 0,
      answered: 0,
      answerMs: 0,
      short: 0,
      suspicions: {},
      lastSignsAtMs: { unacknowledged: -Infinity, unanswered: -Infinity },
    },
    local: createLocalActivity(),
  };
}

/** @returns the maximum number of concurrent requests; at least 1 */
export function slotsOf({ registration }: KnownBackend): number {
  return Math.max(1, registration.record.capacity);
}

/** @returns the estimated requests in progress, over all balancers */
export function busyInFleet({ local, fleet }: KnownBackend): number {
  return local.busy + fleet.busy;
}
