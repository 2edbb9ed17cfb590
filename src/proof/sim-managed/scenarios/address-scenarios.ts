/**
 * @file Scenario in which an address moves from one service to another while balancers are cut off or paused.
 * Outdated configurations could then deliver packets to the wrong service.
 */
import type { Address } from '../../../shared/common/address.js';
import type { ServicePlan } from '../world-plan.js';
import { smallWorld } from '../world-plan.js';
import type { World } from '../world.js';
import { integerBetween, pick, type Scenario, type ScenarioScope } from './scenario.js';

const DURATION_MS = 40_000;
const MIN_CALLER_CUT_MS = 5_000;
const MAX_CALLER_CUT_MS = 15_000;
/** Delay until the operator retries to add a back end at an address that is still quarantined. */
const RETRY_DELAY_MS = 1_000;

/** A back end of one service leaves, and its address is reused by another service. */
export const addressMove: Scenario = {
  name: 'address-move',
  description: 'An address moves between services while balancers are cut off or paused.',
  // Callers that are cut off while their flow is closed keep sending on it long afterwards.
  plan: {
    ...smallWorld,
    callersIgnoreGoAway: true,
    pauseMs: 24_000,
    backendTuning: { drainGraceMs: 4_000 },
  },
  durationMs: DURATION_MS,
  schedule: (scope) => {
    const { world, faults, random } = scope;
    const [from, to] = world.plan.services;
    if (from === undefined || to === undefined) {
      return;
    }
    world.after(integerBetween(random, 200, 1_500), () => injectBalancerFaults(scope));
    world.after(2_000, () => {
      faults.cutOff(world.callers, integerBetween(random, MIN_CALLER_CUT_MS, MAX_CALLER_CUT_MS));
    });
    world.after(2_500, () => {
      const leaving = pick(random, backendsOf(world, from));
      if (leaving !== undefined) {
        faults.drainAndRetire(leaving, () =>
          addBackendAtAddress(world, to, leaving.process.address),
        );
      }
    });
  },
};

function injectBalancerFaults({ world, faults, random }: ScenarioScope): void {
  const [cutBalancer, pausedBalancer] = world.balancers;
  if (cutBalancer === undefined || pausedBalancer === undefined) {
    return;
  }
  const durationMs = integerBetween(random, 15_000, 38_000);
  // This balancer gets no more configuration changes but still forwards packets.
  const others = world.balancers.filter((balancer) => balancer !== cutBalancer);
  faults.cutLinks([cutBalancer], [...world.controls, ...others], durationMs);
  if (random.nextInt(2) === 0) {
    faults.pause(pausedBalancer, integerBetween(random, 5_000, 25_000));
  }
}

/** The operator of the other service retries until the address is released. */
function addBackendAtAddress(world: World, service: ServicePlan, address: Address): void {
  const command = {
    type: 'add-backend' as const,
    service: service.name,
    address,
    healthAddress: address,
    zone: 'zone-a',
  };
  world.command(service, world.nextBackendName(service), command, (outcome) => {
    if (outcome.accepted) {
      world.startBackend(service, address).backendId = outcome.backendId;
    } else {
      world.after(RETRY_DELAY_MS, () => addBackendAtAddress(world, service, address));
    }
  });
}

function backendsOf(world: World, service: ServicePlan) {
  return world.backends.filter((placed) => placed.service === service);
}
