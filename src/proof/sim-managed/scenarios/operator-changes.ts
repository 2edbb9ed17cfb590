/**
 * @file What operators do in scenarios: changes of services and back ends, questions, and changes that
 * race each other.
 */
import type { PlacementPolicyName } from '../../../managed/control/routing-config.js';
import { between, pick, type ScenarioScope } from './scenario.js';

const MIN_ACTIVE_BACKENDS = 2;
const MAX_BACKENDS = 5;
const POLICIES: readonly PlacementPolicyName[] = ['random', 'adaptive'];

/**
 * One operator does one thing.
 */
export function changeSomething(scope: ScenarioScope): void {
  const { random } = scope;
  switch (random.nextInt(6)) {
    case 0:
    case 1:
      changePolicy(scope);
      break;
    case 2:
      racePolicies(scope);
      break;
    case 3:
      replaceBackend(scope);
      break;
    default:
      show(scope);
  }
}

/**
 * An operator changes how the flows of one of their services are placed.
 */
export function changePolicy({ world, random }: ScenarioScope): void {
  const service = pick(random, world.plan.services);
  const policy = pick(random, POLICIES);
  if (service !== undefined && policy !== undefined) {
    const change = { type: 'change-service' as const, service: service.name, policy };
    world.command(service, service.name, change);
  }
}

/** Two changes on an equal version: at most one of them is accepted. */
export function racePolicies({ world, random }: ScenarioScope): void {
  const service = pick(random, world.plan.services);
  const state = world.controls.find(({ isLeader }) => isLeader)?.state;
  const current = [...(state?.cluster.routing.services.values() ?? [])].find(
    ({ name }) => name === service?.name,
  );
  if (service === undefined || current === undefined) {
    return;
  }
  for (const policy of POLICIES) {
    const basedOnVersion = current.version;
    const change = { type: 'change-service' as const, service: service.name, policy };
    world.command(service, service.name, { ...change, basedOnVersion });
  }
}

/** A change is planned for a moment later, and sometimes cancelled before or while it is due. */
export function planAndCancel({ world, random }: ScenarioScope): void {
  const service = pick(random, world.plan.services);
  const policy = pick(random, POLICIES);
  if (service === undefined || policy === undefined) {
    return;
  }
  const change = { type: 'change-service' as const, service: service.name, policy };
  const delayMs = between(random, 200, 1_500);
  const plan = { type: 'plan-change' as const, when: { inMs: delayMs }, change };
  world.command(service, service.name, plan, (outcome) => {
    const planId = outcome.accepted ? outcome.planId : undefined;
    if (planId !== undefined && random.nextInt(2) === 0) {
      world.after(between(random, 0, delayMs), () =>
        world.command(service, service.name, { type: 'cancel-plan', planId }),
      );
    }
  });
}

function replaceBackend({ world, faults, random }: ScenarioScope): void {
  const service = pick(random, world.plan.services);
  const own = world.backends.filter(
    (placed) => placed.service === service && placed.requestedState !== 'retired',
  );
  const active = own.filter(
    ({ requestedState, backendId }) => requestedState === 'active' && backendId !== undefined,
  );
  const chosen = pick(random, active);
  if (chosen === undefined || own.length >= MAX_BACKENDS) {
    return;
  }
  if (active.length > MIN_ACTIVE_BACKENDS && random.nextInt(2) === 0) {
    faults.drainAndRetire(chosen);
  } else {
    faults.replace(chosen, between(random, 500, 2_000));
  }
}

function show({ world, random }: ScenarioScope): void {
  const operator = pick(random, [...world.operators.values()]);
  const control = pick(random, world.controls);
  if (control !== undefined) {
    operator?.queryState(control);
  }
}
