/**
 * @file Back ends of the simulated deployment that start again under their IDs: what the start before has sent comes late.
 * Drawn apart from all other faults, since kept seeds draw from the list of those.
 */
import type { Address } from '../../shared/common/address.js';
import type { IngressWorld } from './ingress-world.js';
import type { StandInBackend } from './stand-in-backend.js';

/** How a back end starts again. */
export const restartFaultKinds = [
  'backend-restarted',
  'backend-restarted-in-series',
  'backend-restarted-in-drain',
  'backend-restarted-elsewhere',
  'backend-restarted-at-address-of-another',
] as const;

/** One way of it. */
export type RestartFaultKind = (typeof restartFaultKinds)[number];

/** What a start that is over has sent comes late by up to so much: within two heartbeat intervals. */
const LATE_MS = 2_400;
const RESTARTS_IN_SERIES = 3;
/** Less than a heartbeat interval, and more than the way of a heartbeat. */
const RESTART_GAP_MS = 400;

/** Lets a drawn back end start again. */
export function strikeRestart(world: IngressWorld, kind: RestartFaultKind): void {
  const { random, clock } = world;
  const alive = world.backends.filter(({ isAlive, isLeaving }) => isAlive && !isLeaving);
  const backend = alive[random.nextInt(alive.length)];
  if (backend === undefined) {
    return;
  }
  switch (kind) {
    case 'backend-restarted':
      restart(world, backend);
      clock.after(random.nextFloat() * LATE_MS, () => backend.deliverHeldUpDeparture());
      return;
    case 'backend-restarted-in-series':
      restartInSeries(world, backend);
      return;
    case 'backend-restarted-in-drain':
      backend.leave(true, () => undefined);
      clock.after(random.nextFloat() * LATE_MS, () => restart(world, backend));
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
  world.clock.after(world.random.nextFloat() * LATE_MS, () => start.deliverHeldUpHeartbeat());
  return next;
}

function restartInSeries(world: IngressWorld, backend: StandInBackend): void {
  let start = backend;
  for (let times = 0; times < RESTARTS_IN_SERIES; times += 1) {
    world.clock.after(times * RESTART_GAP_MS, () => {
      start = restart(world, start);
    });
  }
}

/** Each start is one more back end of the world, so its count gives a host that none has had. */
function unusedAddress({ backends }: IngressWorld, { identity }: StandInBackend): Address {
  return { ...identity.address, host: `10.0.5.${backends.length}` };
}
