/**
 * @file Injects faults into back ends, the operator and datagrams. The soak and the simulator share them, as both use the
 * same stand-ins.
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

/** Parts of a deployment that these faults act on. */
export interface StandInWorld {
  readonly clock: StandInClock;
  readonly wires: StandInWires & { lossShare: number };
  readonly oracle: IngressOracle;
  readonly operator: StandInOperator;
  readonly zoneOperator: ZoneOperator;
  readonly backends: readonly StandInBackend[];
  addBackend(service: string, address?: Address): void;
  /** Crashes a back end and starts it again under the same ID and address. */
  restartBackend(backend: StandInBackend): void;
}

/** Faults that involve no control machine and no balancer process. */
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

/** Makes the oracle excuse missed bounds until some time after the end of a fault. */
export function recordDisturbance(
  world: Pick<StandInWorld, 'oracle' | 'clock'>,
  forMs: number,
): void {
  world.oracle.recordDisturbance(world.clock.nowMs + forMs);
}

/** Schedules the end of a fault and records the disturbance until then. */
export function scheduleEnd(
  world: Pick<StandInWorld, 'oracle' | 'clock'>,
  forMs: number,
  end: () => void,
): void {
  recordDisturbance(world, forMs);
  world.clock.after(forMs, end);
}

/**
 * Injects a fault and schedules its end.
 * @param target index of the back end to restart; unused by other kinds
 * @param forMs duration of the fault, or delay of the last heartbeat of a back end, in milliseconds
 */
export function injectStandInFault(
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
      scheduleEnd(world, forMs, () => (wires.lossShare = 0));
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
      replaceBackend(world, kind, forMs);
  }
}

/** Restarts a back end; a heartbeat of its previous start arrives late. */
function restartBackend(world: StandInWorld, target: number, forMs: number): void {
  const running = world.backends.filter(({ isAlive, isLeaving }) => isAlive && !isLeaving);
  const numbers = [...new Set(running.map(({ identity }) => identity.number))].sort(
    (one, other) => one - other,
  );
  const number = numbers[target % Math.max(1, numbers.length)];
  const backend = running.find(({ identity }) => identity.number === number);
  if (backend !== undefined) {
    world.restartBackend(backend);
    recordDisturbance(world, 0);
    world.clock.after(forMs, () => backend.deliverHeldUpHeartbeat());
  }
}

/** Ends a back end and adds another one of the same service. */
function replaceBackend(
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
      recordDisturbance(world, 0);
      world.addBackend(service);
      return;
    case 'backend-reborn':
      backend.crash();
      recordDisturbance(world, 0);
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
