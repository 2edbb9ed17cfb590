/** @file Commands for stateful fuzzing: faults of any process, network faults and operations of operators. */
import fc from 'fast-check';
import type { PlacementPolicyName } from '../../../src/managed/control/routing-config.js';
import type { ClusterFaults } from '../../../src/proof/sim-managed/cluster-faults.js';
import type { World } from '../../../src/proof/sim-managed/world.js';

/** Model of the fuzz commands; it holds no expected state, as the oracle checks the invariants. */
export interface FuzzModel {
  commands: number;
}

/** The system under test. */
export interface FuzzSystem {
  readonly world: World;
  readonly faults: ClusterFaults;
}

type Action = (system: FuzzSystem) => void;

class FuzzCommand implements fc.AsyncCommand<FuzzModel, FuzzSystem> {
  constructor(
    private readonly description: string,
    /** Virtual time after the command; 0 runs the next command at the same time. */
    private readonly delayAfterMs: number,
    private readonly action: Action,
  ) {}

  check(): boolean {
    return true;
  }

  async run(model: FuzzModel, system: FuzzSystem): Promise<void> {
    model.commands += 1;
    this.action(system);
    await system.world.run(this.delayAfterMs);
  }

  toString(): string {
    return `${this.description}, then ${this.delayAfterMs} ms`;
  }
}

const commandDelayMs = fc.constantFrom(0, 0, 5, 50, 400, 1_500);
const durationMs = fc.integer({ min: 50, max: 5_000 });
const position = fc.nat(11);
const direction = fc.constantFrom('both', 'to', 'from' as const);
const policy = fc.constantFrom<PlacementPolicyName>('random', 'adaptive', 'least-reported');

/** The item at an index, modulo the number of items. */
function itemAt<T>(items: readonly T[], index: number): T | undefined {
  return items[index % items.length];
}

function command(description: string, delayAfterMs: number, action: Action): FuzzCommand {
  return new FuzzCommand(description, delayAfterMs, action);
}

/** True if enough balancers are available that packets still get through after another one fails. */
function canFailBalancer({ world }: FuzzSystem): boolean {
  return (
    world.balancers.filter(({ status, isListed }) => status === 'running' && isListed).length > 2
  );
}

const controlFaults = fc
  .tuple(
    fc.constantFrom('crash', 'power', 'pause', 'cut', 'disk', 'stop'),
    position,
    durationMs,
    direction,
    commandDelayMs,
  )
  .map(([fault, index, ms, cutDirection, delayAfterMs]) =>
    command(
      `${fault} control ${index % 3} for ${ms} ms (${cutDirection})`,
      delayAfterMs,
      ({ world, faults }) => {
        const control = itemAt(world.controls, index);
        if (control === undefined) {
          return;
        }
        const actions: Record<string, () => void> = {
          crash: () => faults.crash(control, ms),
          power: () => faults.losePower(control, ms),
          pause: () => faults.pause(control, ms),
          cut: () => faults.cutOff([control], ms, cutDirection),
          disk: () => faults.fillDisk(control, ms),
          stop: () => faults.restartControl(control, ms),
        };
        actions[fault]?.();
      },
    ),
  );

const balancerFaults = fc
  .tuple(
    fc.constantFrom('crash', 'pause', 'cut', 'stop', 'unlink'),
    position,
    durationMs,
    direction,
    commandDelayMs,
  )
  .map(([fault, index, ms, cutDirection, delayAfterMs]) =>
    command(
      `${fault} balancer ${index % 4} for ${ms} ms (${cutDirection})`,
      delayAfterMs,
      (system) => {
        const { world, faults } = system;
        const balancer = itemAt(world.balancers, index);
        if (balancer === undefined || !canFailBalancer(system)) {
          return;
        }
        const actions: Record<string, () => void> = {
          crash: () => faults.crash(balancer, ms),
          pause: () => faults.pause(balancer, ms),
          cut: () => faults.cutOff([balancer], ms, cutDirection),
          stop: () => faults.restartBalancer(balancer, ms),
          unlink: () => faults.cutLinks([balancer], world.controls, ms),
        };
        actions[fault]?.();
      },
    ),
  );

const backendFaults = fc
  .tuple(
    fc.constantFrom('crash', 'pause', 'cut', 'replace', 'leave'),
    position,
    durationMs,
    direction,
    commandDelayMs,
  )
  .map(([fault, index, ms, cutDirection, delayAfterMs]) =>
    command(
      `${fault} back end ${index} for ${ms} ms (${cutDirection})`,
      delayAfterMs,
      ({ world, faults }) => {
        const placed = itemAt(world.backends, index);
        if (placed === undefined) {
          return;
        }
        const actions: Record<string, () => void> = {
          crash: () => faults.crash(placed.process, ms),
          pause: () => faults.pause(placed.process, ms),
          cut: () => faults.cutOff([placed.process], ms, cutDirection),
          replace: () => faults.replace(placed, ms),
          leave: () => faults.drainAndRetire(placed),
        };
        actions[fault]?.();
      },
    ),
  );

const networkFaults = fc
  .tuple(fc.constantFrom('spoil', 'answers'), durationMs, commandDelayMs)
  .map(([fault, ms, delayAfterMs]) =>
    command(`${fault} for ${ms} ms`, delayAfterMs, ({ faults }) =>
      fault === 'spoil' ? faults.degradeNetwork(ms) : faults.loseAnswers(0.5, ms),
    ),
  );

const policyChanges = fc
  .tuple(fc.boolean(), position, policy, commandDelayMs)
  .map(([isRace, index, chosenPolicy, delayAfterMs]) =>
    command(
      `${isRace ? 'race' : 'set'} policy ${chosenPolicy} of service ${index % 3}`,
      delayAfterMs,
      ({ world }) => {
        const service = itemAt(world.plan.services, index);
        const state = world.controls.find(({ isLeader }) => isLeader)?.state;
        const current = [...(state?.cluster.routing.services.values() ?? [])].find(
          ({ name }) => name === service?.name,
        );
        if (service === undefined) {
          return;
        }
        const change = {
          type: 'change-service' as const,
          service: service.name,
          policy: chosenPolicy,
        };
        const versionCondition = isRace && current ? { basedOnVersion: current.version } : {};
        for (let copy = 0; copy < (isRace ? 2 : 1); copy += 1) {
          world.command(service, service.name, { ...change, ...versionCondition });
        }
      },
    ),
  );

const stateQueries = fc
  .tuple(position, position, commandDelayMs)
  .map(([operator, control, delayAfterMs]) =>
    command(`operator ${operator % 2} asks control ${control % 3}`, delayAfterMs, ({ world }) => {
      const target = itemAt(world.controls, control);
      if (target !== undefined) {
        itemAt([...world.operators.values()], operator)?.queryState(target);
      }
    }),
  );

/** Any command. */
export const fuzzCommands: fc.Arbitrary<fc.AsyncCommand<FuzzModel, FuzzSystem>>[] = [
  controlFaults,
  balancerFaults,
  backendFaults,
  networkFaults,
  policyChanges,
  policyChanges,
  stateQueries,
];
