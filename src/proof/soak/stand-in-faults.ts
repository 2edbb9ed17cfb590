/**
 * @file Faults of back ends, of the operator and of datagrams: the same beside real processes and in the
 * simulator, since the same stand-ins play them.
 */
import type { Address } from '../../shared/common/address.js';
import type { IngressOracle } from '../sim-registered/ingress-oracle.js';
import type { StandInBackend } from '../sim-registered/stand-in-backend.js';
import { SIMULATED_SERVICES, type StandInOperator } from '../sim-registered/stand-in-operator.js';
import type { StandInClock, StandInWires } from '../sim-registered/world-parts.js';
import { SIMULATED_ZONES } from '../sim-registered/simulated-zones.js';
import type { ZoneOperator } from '../sim-registered/zone-operator.js';
import type { SoakFaultKind } from './soak-schedule.js';
import { LOSS_SHARE, ACK_LOSS_SHARE } from '../sim-registered/deployment-constants.js';

/** What these faults need of a deployment. */
export interface StandInWorld {
  readonly clock: StandInClock;
  readonly wires: StandInWires & { lossShare: number };
  readonly oracle: IngressOracle;
  readonly operator: StandInOperator;
  readonly zoneOperator: ZoneOperator;
  readonly backends: readonly StandInBackend[];
  addBackend(service: string, address?: Address): void;
  /** A back end ends without a word and starts again under its ID, at its address. */
  restartBackend(backend: StandInBackend): void;
}

/** Faults that no process of ours takes part in. */
export type StandInFaultKind = Extract<
  SoakFaultKind,
  | 'backend-crashed'
  | 'backend-leaves'
  | 'backend-leaves-at-once'
  | 'backend-reborn'
  | 'config-changed'
  | 'datagrams-lost'
  | 'acknowledgements-lost'
  | 'zone-evacuated'
  | 'backend-restarted'
>;

/** The oracle excuses missed bounds until some time after this fault has ended. */
export function disturb(world: Pick<StandInWorld, 'oracle' | 'clock'>, forMs: number): void {
  world.oracle.recordDisturbance(world.clock.nowMs + forMs);
}

/** Ends a fault after its time; missed bounds are excused until then. */
export function endLater(
  world: Pick<StandInWorld, 'oracle' | 'clock'>,
  forMs: number,
  end: () => void,
): void {
  disturb(world, forMs);
  world.clock.after(forMs, end);
}

/**
 * Causes a fault; it ends by itself.
 * @param target which back end, for restarts of one
 * @param forMs how long it lasts, or how late the last heartbeat of a back end comes
 */
export function strikeStandIns(
  world: StandInWorld,
  kind: StandInFaultKind,
  target: number,
  forMs: number,
): void {
  const { wires, operator, clock } = world;
  switch (kind) {
    case 'config-changed':
      operator.declareNext();
      return;
    case 'datagrams-lost':
      wires.lossShare = LOSS_SHARE;
      endLater(world, forMs, () => (wires.lossShare = 0));
      return;
    case 'acknowledgements-lost':
      operator.ackLossShare = ACK_LOSS_SHARE;
      clock.after(forMs, () => (operator.ackLossShare = 0));
      return;
    case 'zone-evacuated':
      world.zoneOperator.evacuate(
        SIMULATED_ZONES[Math.round(forMs) % SIMULATED_ZONES.length] ?? 'zone-a',
        forMs,
      );
      return;
    case 'backend-restarted':
      restartBackend(world, target, forMs);
      return;
    default:
      endBackend(world, kind, forMs);
  }
}

/** The newest start of a back end is followed by another one; a heartbeat of it comes late. */
function restartBackend(world: StandInWorld, target: number, forMs: number): void {
  const running = world.backends.filter(({ isAlive, isLeaving }) => isAlive && !isLeaving);
  const numbers = [...new Set(running.map(({ identity }) => identity.number))].sort(
    (one, other) => one - other,
  );
  const number = numbers[target % Math.max(1, numbers.length)];
  const backend = running.find(({ identity }) => identity.number === number);
  if (backend !== undefined) {
    world.restartBackend(backend);
    disturb(world, 0);
    world.clock.after(forMs, () => backend.deliverHeldUpHeartbeat());
  }
}

/** Another back end of the same service takes its place. */
function endBackend(
  world: StandInWorld,
  kind: Exclude<
    StandInFaultKind,
    | 'config-changed'
    | 'datagrams-lost'
    | 'acknowledgements-lost'
    | 'zone-evacuated'
    | 'backend-restarted'
  >,
  forMs: number,
): void {
  const active = world.backends.filter(({ isAlive, isLeaving }) => isAlive && !isLeaving);
  const [backend] = active;
  if (backend === undefined || active.length <= SIMULATED_SERVICES.length) {
    return;
  }
  const { service, address } = backend.identity;
  switch (kind) {
    case 'backend-crashed':
      backend.crash();
      disturb(world, 0);
      world.addBackend(service);
      return;
    case 'backend-reborn':
      backend.crash();
      disturb(world, 0);
      world.addBackend(service, address);
      world.clock.after(forMs, () => backend.deliverHeldUpHeartbeat());
      return;
    case 'backend-leaves':
    case 'backend-leaves-at-once':
      world.addBackend(service);
      backend.leave(kind === 'backend-leaves', () => undefined);
      return;
  }
}
