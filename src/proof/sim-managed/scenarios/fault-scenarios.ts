/**
 * @file Scenarios with random faults of the control machines, or of all processes and the network.
 */
import type { SimulatedProcess } from '../simulated-process.js';
import { smallWorld } from '../world-plan.js';
import { sendRandomOperation } from './operator-changes.js';
import {
  atRandomTimes,
  integerBetween,
  pick,
  publishRegularly,
  FAULT_FREE_END_MS,
  type Scenario,
  type ScenarioScope,
} from './scenario.js';

const CONTROL_FAULTS_MS = 24_000;
const CHAOS_MS = 24_000;

/** Random faults of control machines and their disks, while operators send commands. */
export const controlFaults: Scenario = {
  name: 'control-faults',
  description: 'Faults of control machines and their disks, while operators send commands.',
  plan: { ...smallWorld, balancerZones: 1 },
  durationMs: CONTROL_FAULTS_MS,
  schedule: (scope) => {
    const { faults } = scope;
    const endMs = CONTROL_FAULTS_MS - FAULT_FREE_END_MS;
    publishRegularly(scope, CONTROL_FAULTS_MS, 500);
    faults.loseAnswers(0.2, endMs);
    atRandomTimes(scope, endMs, 700, () => sendRandomOperation(scope));
    atRandomTimes(scope, endMs, 2_500, () => injectControlFault(scope));
  },
};

/** Any process can fail at any moment, also several at once. */
export const chaos: Scenario = {
  name: 'chaos',
  description: 'Faults of all processes, disks and the network, while operators send commands.',
  plan: { ...smallWorld, balancerZones: 1 },
  durationMs: CHAOS_MS,
  schedule: (scope) => {
    const { faults, random } = scope;
    const endMs = CHAOS_MS - FAULT_FREE_END_MS;
    publishRegularly(scope, CHAOS_MS, 400);
    faults.loseAnswers(0.2, endMs);
    faults.degradeNetwork(integerBetween(random, 2_000, endMs));
    atRandomTimes(scope, endMs, 1_000, () => sendRandomOperation(scope));
    atRandomTimes(scope, endMs, 1_500, () => injectRandomFault(scope));
  },
};

function injectControlFault(scope: ScenarioScope): void {
  const { world, faults, random } = scope;
  const control = pick(random, world.controls);
  if (control === undefined) {
    return;
  }
  const durationMs = integerBetween(random, 100, 4_000);
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

/** Injects faults of balancers only while enough others are available to forward packets. */
function injectRandomFault(scope: ScenarioScope): void {
  const { world, faults, random } = scope;
  const kind = random.nextInt(4);
  if (kind === 0) {
    injectControlFault(scope);
    return;
  }
  const balancer = pick(random, world.balancers);
  const backend = pick(random, world.backends)?.process;
  const target = kind === 1 ? backend : balancer;
  if (target === undefined || (kind > 1 && !canFailBalancer(scope))) {
    return;
  }
  if (kind === 3 && balancer !== undefined) {
    faults.restartBalancer(balancer, integerBetween(random, 100, 2_000));
    return;
  }
  injectProcessFault(scope, target);
}

function injectProcessFault({ faults, random }: ScenarioScope, process: SimulatedProcess): void {
  const durationMs = integerBetween(random, 100, 4_000);
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

function canFailBalancer({ world }: ScenarioScope): boolean {
  const available = world.balancers.filter(
    ({ status, isListed }) => status === 'running' && isListed,
  );
  return available.length > 2;
}
