/** @file Commands of the stateful fuzzing: faults of any process at any moment, and operators at work. */
import fc from 'fast-check';
import type { PlacementPolicyName } from '../../../src/managed/control/routing-config.js';
import type { ClusterFaults } from '../../../src/proof/sim-managed/cluster-faults.js';
import type { World } from '../../../src/proof/sim-managed/world.js';

/** The model: what the commands need to know; what must hold is known to the oracle. */
export interface FuzzModel {
  commands: number;
}

/** The system under test. */
export interface FuzzSystem {
  readonly world: World;
  readonly faults: ClusterFaults;
}

type Act = (system: FuzzSystem) => void;

class FuzzCommand implements fc.AsyncCommand<FuzzModel, FuzzSystem> {
  constructor(
    private readonly text: string,
    /** Virtual time that passes afterwards; with 0 the next command comes at the same moment. */
    private readonly thenMs: number,
    private readonly act: Act,
  ) {}

  check(): boolean {
    return true;
  }

  async run(model: FuzzModel, system: FuzzSystem): Promise<void> {
    model.commands += 1;
    this.act(system);
    await system.world.run(this.thenMs);
  }

  toString(): string {
    return `${this.text}, then ${this.thenMs} ms`;
  }
}

const thenMs = fc.constantFrom(0, 0, 5, 50, 400, 1_500);
const durationMs = fc.integer({ min: 50, max: 5_000 });
const position = fc.nat(11);
const direction = fc.constantFrom('both', 'to', 'from' as const);
const policy = fc.constantFrom<PlacementPolicyName>('random', 'adaptive', 'least-reported');

/** The item at a position, counted around. */
function at<T>(items: readonly T[], index: number): T | undefined {
  return items[index % items.length];
}

function command(text: string, wait: number, act: Act): FuzzCommand {
  return new FuzzCommand(text, wait, act);
}

/** Packets must still get through: at most two balancers are in trouble at a time. */
function maySpareBalancer({ world }: FuzzSystem): boolean {
  return (
    world.balancers.filter(({ status, isListed }) => status === 'running' && isListed).length > 2
  );
}

const onControl = fc
  .tuple(
    fc.constantFrom('crash', 'power', 'pause', 'cut', 'disk', 'stop'),
    position,
    durationMs,
    direction,
    thenMs,
  )
  .map(([fault, index, ms, way, wait]) =>
    command(`${fault} control ${index % 3} for ${ms} ms (${way})`, wait, ({ world, faults }) => {
      const control = at(world.controls, index);
      if (control === undefined) {
        return;
      }
      const acts: Record<string, () => void> = {
        crash: () => faults.crash(control, ms),
        power: () => faults.losePower(control, ms),
        pause: () => faults.pause(control, ms),
        cut: () => faults.cutOff([control], ms, way),
        disk: () => faults.fillDisk(control, ms),
        stop: () => faults.restartControl(control, ms),
      };
      acts[fault]?.();
    }),
  );

const onBalancer = fc
  .tuple(
    fc.constantFrom('crash', 'pause', 'cut', 'stop', 'unlink'),
    position,
    durationMs,
    direction,
    thenMs,
  )
  .map(([fault, index, ms, way, wait]) =>
    command(`${fault} balancer ${index % 4} for ${ms} ms (${way})`, wait, (system) => {
      const { world, faults } = system;
      const balancer = at(world.balancers, index);
      if (balancer === undefined || !maySpareBalancer(system)) {
        return;
      }
      const acts: Record<string, () => void> = {
        crash: () => faults.crash(balancer, ms),
        pause: () => faults.pause(balancer, ms),
        cut: () => faults.cutOff([balancer], ms, way),
        stop: () => faults.restartBalancer(balancer, ms),
        unlink: () => faults.cutLinks([balancer], world.controls, ms),
      };
      acts[fault]?.();
    }),
  );

const onBackend = fc
  .tuple(
    fc.constantFrom('crash', 'pause', 'cut', 'replace', 'leave'),
    position,
    durationMs,
    direction,
    thenMs,
  )
  .map(([fault, index, ms, way, wait]) =>
    command(`${fault} back end ${index} for ${ms} ms (${way})`, wait, ({ world, faults }) => {
      const placed = at(world.backends, index);
      if (placed === undefined) {
        return;
      }
      const acts: Record<string, () => void> = {
        crash: () => faults.crash(placed.process, ms),
        pause: () => faults.pause(placed.process, ms),
        cut: () => faults.cutOff([placed.process], ms, way),
        replace: () => faults.replace(placed, ms),
        leave: () => faults.drainAndRetire(placed),
      };
      acts[fault]?.();
    }),
  );

const onNetwork = fc
  .tuple(fc.constantFrom('spoil', 'answers'), durationMs, thenMs)
  .map(([fault, ms, wait]) =>
    command(`${fault} for ${ms} ms`, wait, ({ faults }) =>
      fault === 'spoil' ? faults.degradeNetwork(ms) : faults.loseAnswers(0.5, ms),
    ),
  );

const byOperators = fc
  .tuple(fc.boolean(), position, policy, thenMs)
  .map(([races, index, chosen, wait]) =>
    command(
      `${races ? 'race' : 'set'} policy ${chosen} of service ${index % 3}`,
      wait,
      ({ world }) => {
        const service = at(world.plan.services, index);
        const state = world.controls.find(({ isLeader }) => isLeader)?.state;
        const current = [...(state?.cluster.routing.services.values() ?? [])].find(
          ({ name }) => name === service?.name,
        );
        if (service === undefined) {
          return;
        }
        const change = { type: 'change-service' as const, service: service.name, policy: chosen };
        const based = races && current ? { basedOnVersion: current.version } : {};
        for (let copy = 0; copy < (races ? 2 : 1); copy += 1) {
          world.command(service, service.name, { ...change, ...based });
        }
      },
    ),
  );

const questions = fc.tuple(position, position, thenMs).map(([operator, control, wait]) =>
  command(`operator ${operator % 2} asks control ${control % 3}`, wait, ({ world }) => {
    const asked = at(world.controls, control);
    if (asked !== undefined) {
      at([...world.operators.values()], operator)?.queryState(asked);
    }
  }),
);

/** Any command. */
export const fuzzCommands: fc.Arbitrary<fc.AsyncCommand<FuzzModel, FuzzSystem>>[] = [
  onControl,
  onBalancer,
  onBackend,
  onNetwork,
  byOperators,
  byOperators,
  questions,
];
