/**
 * @file One start of a back end as a balancer knows it. Each part has one owner, which alone changes it:
 *
 * - the identity never changes;
 * - `registration` and `fleet` are changed by the back end table, as the feed says;
 * - `local` is changed by the flow activities, as packets of clients show it.
 */
import { Buffer } from 'node:buffer';
import type { Address } from '../../shared/common/address.js';
import type { MechanismSwitches } from '../decisions/mechanism-switches.js';
import type { BackendRecord, DepartureKind } from '../registry/backend-record.js';
import { startOf, type BackendStart } from '../registry/backend-start.js';
import { plainTokenOf, tokenOf } from '../registry/backend-token.js';
import { createLocalActivity, type LocalActivity } from './local-activity.js';
import { createRegistration, type Registration } from './registration.js';

/** What all other balancers report of one back end, summed by control machines. */
interface FleetLoad {
  /** Requests that seem to be in progress. */
  busy: number;
  /** Flows whose clients repeat what nobody acknowledges. */
  stalled: number;
  /** Answers of usual size; older ones count for less, so this is no whole number. */
  answered: number;
  /** What these answers took together, in milliseconds. */
  answerMs: number;
  /** Answers far below the usual size of their route; older ones count for less. */
  short: number;
}

/** Which start of which back end it is. */
interface BackendIdentity {
  readonly id: string;
  readonly start: BackendStart;
  readonly service: string;
  readonly zone: string;
  readonly address: Address;
  /** The eight bytes that name it before a packet. */
  readonly instanceBytes: Uint8Array;
  /** Names it in packets of its flows; never 0. */
  readonly token: number;
  /** The same without its start; packets that were sent by balancers which know of no starts bring it. */
  readonly plainToken: number;
}

/** One start of a back end. */
export interface KnownBackend extends BackendIdentity {
  readonly registration: Readonly<Registration>;
  readonly fleet: Readonly<FleetLoad>;
  readonly local: LocalActivity;
}

/** The same as its owner, the back end table, holds it. */
export interface OwnedBackend extends BackendIdentity {
  readonly registration: Registration;
  readonly fleet: FleetLoad;
  readonly local: LocalActivity;
}

const INSTANCE_BYTES = 8;

/**
 * @param receivedAtMs when the first heartbeat came that brought the record
 * @param departure what was known of its departure before that
 * @param tokens whether its token names the start
 */
export function createBackend(
  record: BackendRecord,
  receivedAtMs: number,
  departure: DepartureKind | undefined,
  tokens: MechanismSwitches['starts'],
): OwnedBackend {
  const plainToken = plainTokenOf(record);
  return {
    id: record.id,
    start: startOf(record.id),
    service: record.service,
    zone: record.zone,
    address: record.address,
    instanceBytes: Buffer.from(record.instanceNumber, 'hex').subarray(0, INSTANCE_BYTES),
    token: tokens === 'named' ? tokenOf(record) : plainToken,
    plainToken,
    registration: createRegistration(record, receivedAtMs, departure),
    fleet: { busy: 0, stalled: 0, answered: 0, answerMs: 0, short: 0 },
    local: createLocalActivity(),
  };
}

/** @returns how many requests it runs at the same time; at least 1 */
export function slotsOf({ registration }: KnownBackend): number {
  return Math.max(1, registration.record.capacity);
}

/** @returns requests that seem to be in progress there, over all balancers */
export function busyInFleet({ local, fleet }: KnownBackend): number {
  return local.busy + fleet.busy;
}
