/**
 * @file Scenarios without faults: normal operation and planned changes, which must interrupt nothing.
 */
import { smallWorld } from '../world-plan.js';
import { pick, publishRegularly, type Scenario } from './scenario.js';

/** Normal traffic without changes. */
export const quiet: Scenario = {
  name: 'quiet',
  description: 'Requests and feeds without any change.',
  plan: smallWorld,
  durationMs: 8_000,
  schedule: (scope) => publishRegularly(scope, 8_000, 300),
};

/** One back end of each service is replaced. */
export const drain: Scenario = {
  name: 'drain',
  description: 'One back end of each service is replaced: the old one is drained and retired.',
  plan: smallWorld,
  durationMs: 14_000,
  schedule: (scope) => {
    const { world, faults, random } = scope;
    publishRegularly(scope, 14_000, 300);
    world.plan.services.forEach((service, position) => {
      world.after(500 + position * 700, () => {
        const placedBackends = world.backends.filter((placed) => placed.service === service);
        const replaced = pick(random, placedBackends);
        if (replaced !== undefined) {
          faults.replace(replaced, 1_000);
        }
      });
    });
  },
};

/** All balancers, then all control machines, are restarted one after the other. */
export const rollingRestart: Scenario = {
  name: 'rolling-restart',
  description: 'Every balancer, then every control machine, is restarted.',
  plan: smallWorld,
  durationMs: 42_000,
  schedule: (scope) => {
    const { world, faults } = scope;
    publishRegularly(scope, 42_000, 300);
    let atMs = 500;
    for (const balancer of world.balancers) {
      world.after(atMs, () => faults.restartBalancer(balancer, 500));
      atMs += 6_000;
    }
    for (const control of world.controls) {
      world.after(atMs, () => faults.restartControl(control, 1_500));
      atMs += 4_000;
    }
  },
};
