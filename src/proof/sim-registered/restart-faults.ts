/**
 * @file Restarts back ends under the same ID while messages of the previous start are still in transit. These kinds are not
 * in `drawnFaultKinds`, because a longer list would change every seeded run.
 */
import type { Address } from '../../shared/common/address.js';
import type { IngressWorld } from './ingress-world.js';
import type { StandInBackend } from './stand-in-backend.js';

/** The ways in which a back end restarts. */
export const restartFaultKinds = [
  'backend-restarted',
  'backend-restarted-in-series',
  'backend-restarted-in-drain',
  'backend-restarted-elsewhere',
  'backend-restarted-at-address-of-another',
] as const;

/** A kind of restart. */
export type RestartFaultKind = (typeof restartFaultKinds)[number];

/** Maximum delay of messages of an ended start, and of a restart during a drain; two heartbeat intervals. */
const MAX_DELAY_MS = 2_400;
const RESTARTS_IN_SERIES = 3;
/** Longer than the network delay of a heartbeat, shorter than a heartbeat interval. */
const RESTART_INTERVAL_MS = 400;

/** Restarts a random back end. */
export function injectRestart(world: IngressWorld, kind: RestartFaultKind): void {
  const { random, clock } = world;
  const alive = world.backends.filter(({ isAlive, isLeaving }) => isAlive && !isLeaving);
  const backend = alive[random.nextInt(alive.length)];
  if (backend === undefined) {
    return;
  }
  switch (kind) {
    case 'backend-restarted':
      restart(world, backend);
      clock.after(random.nextFloat() * MAX_DELAY_MS, () => backend.deliverHeldUpDeparture());
      return;
    case 'backend-restarted-in-series':
      restartInSeries(world, backend);
      return;
    case 'backend-restarted-in-drain':
      backend.leave(true, () => undefined);
      clock.after(random.nextFloat() * MAX_DELAY_MS, () => restart(world, backend));
      return;
    case 'backend-restarted-elsewhere':
      restart(world, backend, unusedAddress(world, backend));
      return;
    case 'backend-restarted-at-address-of-another': {
      const others = alive.filter((other) => other !== backend);
      const other = others[random.nextInt(others.length)];
      other?.crash();
      restart(world, backend, other?.identity.address);
      return;
    }
  }
}

function restart(world: IngressWorld, start: StandInBackend, address?: Address): StandInBackend {
  const next = world.restartBackend(start, address);
  world.oracle.recordDisturbance(world.clock.nowMs);
  world.clock.after(world.random.nextFloat() * MAX_DELAY_MS, () => start.deliverHeldUpHeartbeat());
  return next;
}

function restartInSeries(world: IngressWorld, backend: StandInBackend): void {
  let start = backend;
  for (let restarts = 0; restarts < RESTARTS_IN_SERIES; restarts += 1) {
    world.clock.after(restarts * RESTART_INTERVAL_MS, () => {
      start = restart(world, start);
    });
  }
}

/** `backends` has one entry per start, so its length yields an unused host. */
function unusedAddress({ backends }: IngressWorld, { identity }: StandInBackend): Address {
  return { ...identity.address, host: `10.0.5.${backends.length}` };
}
