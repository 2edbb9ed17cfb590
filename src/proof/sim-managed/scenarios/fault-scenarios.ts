/**
 * @file Scenarios of faults: of the control machines, and of everything at once.
 */
import type { SimulatedProcess } from '../simulated-process.js';
import { smallWorld } from '../world-plan.js';
import { changeSomething } from './operator-changes.js';
import {
  atRandomTimes,
  between,
  pick,
  publishRegularly,
  QUIET_END_MS,
  type Scenario,
  type ScenarioScope,
} from './scenario.js';

const CONTROL_FAULTS_MS = 24_000;
const CHAOS_MS = 24_000;

/** Control machines crash, lose power, stand still and fill their disks, while operators send commands. */
export const controlFaults: Scenario = {
  name: 'control-faults',
  description: 'Faults of control machines and their disks, with operators at work.',
  plan: { ...smallWorld, balancerZones: 1 },
  durationMs: CONTROL_FAULTS_MS,
  schedule: (scope) => {
    const { faults } = scope;
    const endMs = CONTROL_FAULTS_MS - QUIET_END_MS;
    publishRegularly(scope, CONTROL_FAULTS_MS, 500);
    faults.loseAnswers(0.2, endMs);
    atRandomTimes(scope, endMs, 700, () => changeSomething(scope));
    atRandomTimes(scope, endMs, 2_500, () => disturbControl(scope));
  },
};

/** Everything fails at any moment, together or twice. */
export const chaos: Scenario = {
  name: 'chaos',
  description: 'Faults of all processes, disks and the network, with operators at work.',
  plan: { ...smallWorld, balancerZones: 1 },
  durationMs: CHAOS_MS,
  schedule: (scope) => {
    const { faults, random } = scope;
    const endMs = CHAOS_MS - QUIET_END_MS;
    publishRegularly(scope, CHAOS_MS, 400);
    faults.loseAnswers(0.2, endMs);
    faults.degradeNetwork(between(random, 2_000, endMs));
    atRandomTimes(scope, endMs, 1_000, () => changeSomething(scope));
    atRandomTimes(scope, endMs, 1_500, () => disturbAnything(scope));
  },
};

function disturbControl(scope: ScenarioScope): void {
  const { world, faults, random } = scope;
  const control = pick(random, world.controls);
  if (control === undefined) {
    return;
  }
  const durationMs = between(random, 100, 4_000);
  switch (random.nextInt(6)) {
    case 0:
      faults.crash(control, durationMs);
      break;
    case 1:
      faults.losePower(control, durationMs);
      break;
    case 2:
      faults.pause(control, durationMs);
      break;
    case 3:
      faults.cutOff([control], durationMs, pick(random, ['both', 'to', 'from'] as const));
      break;
    case 4:
      faults.fillDisk(control, durationMs);
      break;
    default:
      faults.restartControl(control, durationMs);
  }
}

/** At most one balancer in three is disturbed at a time, so that packets still get through. */
function disturbAnything(scope: ScenarioScope): void {
  const { world, faults, random } = scope;
  const kind = random.nextInt(4);
  if (kind === 0) {
    disturbControl(scope);
    return;
  }
  const balancer = pick(random, world.balancers);
  const backend = pick(random, world.backends)?.process;
  const target = kind === 1 ? backend : balancer;
  if (target === undefined || (kind > 1 && !areBalancersWell(scope))) {
    return;
  }
  if (kind === 3 && balancer !== undefined) {
    faults.restartBalancer(balancer, between(random, 100, 2_000));
    return;
  }
  disturbProcess(scope, target);
}

function disturbProcess({ faults, random }: ScenarioScope, process: SimulatedProcess): void {
  const durationMs = between(random, 100, 4_000);
  switch (random.nextInt(3)) {
    case 0:
      faults.crash(process, durationMs);
      break;
    case 1:
      faults.pause(process, durationMs);
      break;
    default:
      faults.cutOff([process], durationMs, pick(random, ['both', 'to', 'from'] as const));
  }
}

function areBalancersWell({ world }: ScenarioScope): boolean {
  const well = world.balancers.filter(({ status, isListed }) => status === 'running' && isListed);
  return well.length > 2;
}
