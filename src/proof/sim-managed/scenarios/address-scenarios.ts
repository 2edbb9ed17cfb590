/**
 * @file Scenarios in which an address moves from one service to another, while balancers are cut off or
 * stand still: the way by which a packet could reach another service.
 */
import type { Address } from '../../../shared/common/address.js';
import type { ServicePlan } from '../world-plan.js';
import { smallWorld } from '../world-plan.js';
import type { World } from '../world.js';
import { between, pick, type Scenario, type ScenarioScope } from './scenario.js';

const DURATION_MS = 40_000;
/** How long callers are out of reach. */
const MIN_OUT_OF_REACH_MS = 5_000;
const MAX_OUT_OF_REACH_MS = 15_000;
/** Time until an operator tries again to add a back end at an address that is not free yet. */
const TRY_AGAIN_MS = 1_000;

/** A back end of one service leaves, and its address joins another service. */
export const addressMove: Scenario = {
  name: 'address-move',
  description: 'An address moves between services while balancers are cut off or stand still.',
  // Callers that are out of reach while their flow is closed send on it long afterwards.
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
    world.after(between(random, 200, 1_500), () => disturbBalancers(scope));
    world.after(2_000, () => {
      faults.cutOff(world.callers, between(random, MIN_OUT_OF_REACH_MS, MAX_OUT_OF_REACH_MS));
    });
    world.after(2_500, () => {
      const leaving = pick(random, backendsOf(world, from));
      if (leaving !== undefined) {
        faults.drainAndRetire(leaving, () => addAtAddress(world, to, leaving.process.address));
      }
    });
  },
};

function disturbBalancers({ world, faults, random }: ScenarioScope): void {
  const [one, other] = world.balancers;
  if (one === undefined || other === undefined) {
    return;
  }
  const durationMs = between(random, 15_000, 38_000);
  // It gets no changes any more; packets still pass.
  const others = world.balancers.filter((balancer) => balancer !== one);
  faults.cutLinks([one], [...world.controls, ...others], durationMs);
  if (random.nextInt(2) === 0) {
    faults.pause(other, between(random, 5_000, 25_000));
  }
}

/** The operator of the other service asks for the address until it is free. */
function addAtAddress(world: World, service: ServicePlan, address: Address): void {
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
      world.after(TRY_AGAIN_MS, () => addAtAddress(world, service, address));
    }
  });
}

function backendsOf(world: World, service: ServicePlan) {
  return world.backends.filter((placed) => placed.service === service);
}
