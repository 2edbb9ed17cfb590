/**
 * @file Operations of operators in scenarios: changes of services and back ends, planned and conflicting
 * changes, and state queries.
 */
import type { PlacementPolicyName } from '../../../managed/control/routing-config.js';
import { integerBetween, pick, type ScenarioScope } from './scenario.js';

const MIN_ACTIVE_BACKENDS = 2;
const MAX_BACKENDS = 5;
const POLICIES: readonly PlacementPolicyName[] = ['random', 'adaptive'];

/**
 * Sends a randomly chosen operation: a policy change, conflicting changes, a back end replacement or a query.
 */
export function sendRandomOperation(scope: ScenarioScope): void {
  const { random } = scope;
  switch (random.nextInt(6)) {
    case 0:
    case 1:
      changePolicy(scope);
      break;
    case 2:
      sendConflictingChanges(scope);
      break;
    case 3:
      replaceBackend(scope);
      break;
    default:
      queryState(scope);
  }
}

/**
 * Sends a command that sets a random placement policy on a random service.
 */
export function changePolicy({ world, random }: ScenarioScope): void {
  const service = pick(random, world.plan.services);
  const policy = pick(random, POLICIES);
  if (service !== undefined && policy !== undefined) {
    const change = { type: 'change-service' as const, service: service.name, policy };
    world.command(service, service.name, change);
  }
}

/** Sends two changes based on the same version; at most one of them may be accepted. */
export function sendConflictingChanges({ world, random }: ScenarioScope): void {
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

/** Plans a policy change and in half of the cases cancels it at a random time until it is due. */
export function planAndCancel({ world, random }: ScenarioScope): void {
  const service = pick(random, world.plan.services);
  const policy = pick(random, POLICIES);
  if (service === undefined || policy === undefined) {
    return;
  }
  const change = { type: 'change-service' as const, service: service.name, policy };
  const delayMs = integerBetween(random, 200, 1_500);
  const plan = { type: 'plan-change' as const, when: { inMs: delayMs }, change };
  world.command(service, service.name, plan, (outcome) => {
    const planId = outcome.accepted ? outcome.planId : undefined;
    if (planId !== undefined && random.nextInt(2) === 0) {
      world.after(integerBetween(random, 0, delayMs), () =>
        world.command(service, service.name, { type: 'cancel-plan', planId }),
      );
    }
  });
}

function replaceBackend({ world, faults, random }: ScenarioScope): void {
  const service = pick(random, world.plan.services);
  const placedBackends = world.backends.filter(
    (placed) => placed.service === service && placed.requestedState !== 'retired',
  );
  const active = placedBackends.filter(
    ({ requestedState, backendId }) => requestedState === 'active' && backendId !== undefined,
  );
  const replaced = pick(random, active);
  if (replaced === undefined || placedBackends.length >= MAX_BACKENDS) {
    return;
  }
  if (active.length > MIN_ACTIVE_BACKENDS && random.nextInt(2) === 0) {
    faults.drainAndRetire(replaced);
  } else {
    faults.replace(replaced, integerBetween(random, 500, 2_000));
  }
}

function queryState({ world, random }: ScenarioScope): void {
  const operator = pick(random, [...world.operators.values()]);
  const control = pick(random, world.controls);
  if (control !== undefined) {
    operator?.queryState(control);
  }
}
