/**
 * @file The schedule of a soak on the simulated deployment: the same faults in the same order and overlap as beside
 * real processes, on virtual time, so that a seed gives one verdict on any machine.
 */
import { match } from 'ts-pattern';
import type { IngressWorld } from '../sim-registered/ingress-world.js';
import {
  runWorld,
  type IngressRunReport,
  type WorldRun,
} from '../sim-registered/run-ingress-world.js';
import type { SimulatedControlMachine } from '../sim-registered/simulated-control-machine.js';
import type { SimulatedIngressBalancer } from '../sim-registered/simulated-ingress-balancer.js';
import { drawSchedule, type SoakFault } from './soak-schedule.js';
import { disturb, endLater, strikeStandIns } from './stand-in-faults.js';

/** What a soak on virtual time does. */
export interface VirtualSoak extends WorldRun {
  /** How long faults come, in milliseconds. */
  readonly durationMs: number;
  /** Whether back ends start again under their IDs. */
  readonly hasRestarts?: boolean;
}

/** A machine that was killed is at work again after so long at the least, in milliseconds. */
const RESTART_MS = 300;
/** A balancer that is asked to stop forwards for so long, in milliseconds. */
const BALANCER_STOP_MS = 2_000;
/** What a slow link carries, in bytes a millisecond. */
const SLOW_BYTES_PER_MS = 20;

/** Runs a soak on virtual time. */
export function runVirtualSoak(soak: VirtualSoak): Promise<IngressRunReport> {
  return runWorld(soak, async (world) => {
    const { controlCount, balancerCount, tolerableLosses, catchUpMs } = world.options;
    const { seed, durationMs, hasRestarts = false } = soak;
    const bounds = { controlCount, balancerCount, tolerableLosses, catchUpMs };
    const options = { seed, durationMs, hasRestarts, ...bounds };
    for (const fault of drawSchedule(options)) {
      world.clock.after(fault.atMs, () => strike(world, fault));
    }
    await world.run(durationMs);
  });
}

function strike(world: IngressWorld, { kind, target, forMs }: SoakFault): void {
  const control = world.controls[target % world.controls.length];
  const balancer = world.balancers[target % world.balancers.length];
  if (control === undefined || balancer === undefined) {
    return;
  }
  const { host } = control.address;
  match(kind)
    .with('control-killed', () => loseControl(world, control, forMs, () => control.kill()))
    .with('control-stopped', () => loseControl(world, control, forMs, () => control.stop()))
    .with('control-wiped', () => loseControl(world, control, forMs, () => control.wipe()))
    .with('control-frozen', () => {
      control.freeze(forMs);
      disturb(world, forMs);
    })
    .with('control-links-silent', () => silenceFor(world, control, forMs))
    .with('control-links-slow', () => {
      world.wires.limitStreams(host, SLOW_BYTES_PER_MS);
      endLater(world, forMs, () => world.wires.limitStreams(host, undefined));
    })
    .with('control-links-reset', () => {
      world.wires.resetLinksOf(host);
      disturb(world, 0);
    })
    .with('control-open-links-silent', () => {
      world.wires.silenceLinksOf(host);
      disturb(world, 0);
    })
    .with('all-controls-killed', () =>
      world.controls.forEach((each) => loseControl(world, each, RESTART_MS, () => each.kill())),
    )
    .with('balancer-killed', () => {
      balancer.kill();
      startLater(world, balancer, forMs);
    })
    .with('balancer-stopped', () => stopBalancer(world, balancer, forMs))
    .with('balancer-frozen', () => {
      balancer.freeze(forMs);
      disturb(world, forMs);
    })
    .otherwise((ofStandIns) => strikeStandIns(world, ofStandIns, target, forMs));
}

function loseControl(
  world: IngressWorld,
  control: SimulatedControlMachine,
  forMs: number,
  lose: () => void,
): void {
  lose();
  endLater(world, Math.max(RESTART_MS, forMs), () => {
    if (!control.isRunning) {
      control.start(false);
    }
  });
}

/** One direction or both, by the length of the fault. */
function silenceFor(
  world: IngressWorld,
  { address }: SimulatedControlMachine,
  forMs: number,
): void {
  const { wires, controls, balancers } = world;
  const others = [
    ...controls.filter((other) => other.address !== address).map((other) => other.address.host),
    ...balancers.map(({ host }) => host),
  ];
  const isCutIn = forMs % 3 !== 1;
  const isCutOut = forMs % 3 !== 0;
  const cut = (isCut: boolean) => {
    for (const other of others) {
      wires.cutOneWay(other, address.host, isCut && isCutIn);
      wires.cutOneWay(address.host, other, isCut && isCutOut);
    }
  };
  cut(true);
  endLater(world, forMs, () => cut(false));
}

function stopBalancer(
  world: IngressWorld,
  balancer: SimulatedIngressBalancer,
  forMs: number,
): void {
  const { process } = balancer;
  process?.beginStop();
  world.clock.after(BALANCER_STOP_MS, () => {
    if (balancer.process === process) {
      balancer.kill();
    }
  });
  startLater(world, balancer, BALANCER_STOP_MS + forMs);
}

function startLater(world: IngressWorld, balancer: SimulatedIngressBalancer, forMs: number): void {
  endLater(world, forMs, () => {
    if (balancer.process === undefined) {
      balancer.start();
    }
  });
}
