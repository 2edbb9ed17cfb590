/**
 * @file Runs the fault schedule of a soak against the simulated deployment on virtual time, so that a seed gives the same
 * verdict on any machine.
 */
import { match } from 'ts-pattern';
import {
  defaultSwitches,
  type MechanismSwitches,
} from '../../registered/decisions/mechanism-switches.js';
import type { IngressWorld } from '../sim-registered/ingress-world.js';
import {
  runWorld,
  type IngressRunReport,
  type WorldRun,
} from '../sim-registered/run-ingress-world.js';
import type { SimulatedControlMachine } from '../sim-registered/simulated-control-machine.js';
import type { SimulatedIngressBalancer } from '../sim-registered/simulated-ingress-balancer.js';
import { drawSchedule, type SoakFault } from './soak-schedule.js';
import { recordDisturbance, scheduleEnd, injectStandInFault } from './stand-in-faults.js';

/** Options of a soak on virtual time. */
export interface VirtualSoak extends WorldRun {
  /** Duration of fault injection, in milliseconds. */
  readonly durationMs: number;
  /** Adds restarts of back ends under the same ID. */
  readonly hasRestarts?: boolean;
  /** Switches of the balancers that differ from their defaults. */
  readonly policy?: Partial<MechanismSwitches>;
}

const MIN_RESTART_DELAY_MS = 300;
/** Time in which a stopping balancer still forwards. */
const BALANCER_STOP_MS = 2_000;
const SLOW_LINK_BYTES_PER_MS = 20;

/** Runs a soak on virtual time. */
export function runVirtualSoak(soak: VirtualSoak): Promise<IngressRunReport> {
  const policy = { ...(soak.options?.policy ?? defaultSwitches), ...soak.policy };
  return runWorld({ ...soak, options: { ...soak.options, policy } }, async (world) => {
    const { controlCount, balancerCount, tolerableLosses, catchUpMs } = world.options;
    const { seed, durationMs, hasRestarts = false } = soak;
    const bounds = { controlCount, balancerCount, tolerableLosses, catchUpMs };
    const options = { seed, durationMs, hasRestarts, ...bounds };
    for (const fault of drawSchedule(options)) {
      world.clock.after(fault.atMs, () => injectFault(world, fault));
    }
    await world.run(durationMs);
  });
}

function injectFault(world: IngressWorld, { kind, target, forMs }: SoakFault): void {
  const control = world.controls[target % world.controls.length];
  const balancer = world.balancers[target % world.balancers.length];
  if (control === undefined || balancer === undefined) {
    return;
  }
  const { host } = control.address;
  match(kind)
    .with('control-killed', () => takeDownControl(world, control, forMs, () => control.kill()))
    .with('control-stopped', () => takeDownControl(world, control, forMs, () => control.stop()))
    .with('control-wiped', () => takeDownControl(world, control, forMs, () => control.wipe()))
    .with('control-frozen', () => {
      control.freeze(forMs);
      recordDisturbance(world, forMs);
    })
    .with('control-links-silent', () => silenceLinks(world, control, forMs))
    .with('control-links-slow', () => {
      world.wires.limitStreams(host, SLOW_LINK_BYTES_PER_MS);
      scheduleEnd(world, forMs, () => world.wires.limitStreams(host, undefined));
    })
    .with('control-links-reset', () => {
      world.wires.resetLinksOf(host);
      recordDisturbance(world, 0);
    })
    .with('control-open-links-silent', () => {
      world.wires.silenceLinksOf(host);
      recordDisturbance(world, 0);
    })
    .with('all-controls-killed', () =>
      world.controls.forEach((each) =>
        takeDownControl(world, each, MIN_RESTART_DELAY_MS, () => each.kill()),
      ),
    )
    .with('balancer-killed', () => {
      balancer.kill();
      scheduleStart(world, balancer, forMs);
    })
    .with('balancer-stopped', () => stopBalancer(world, balancer, forMs))
    .with('balancer-frozen', () => {
      balancer.freeze(forMs);
      recordDisturbance(world, forMs);
    })
    .otherwise((standInKind) => injectStandInFault(world, standInKind, target, forMs));
}

function takeDownControl(
  world: IngressWorld,
  control: SimulatedControlMachine,
  forMs: number,
  takeDown: () => void,
): void {
  takeDown();
  scheduleEnd(world, Math.max(MIN_RESTART_DELAY_MS, forMs), () => {
    if (!control.isRunning) {
      control.start(false);
    }
  });
}

/** Cuts one or both directions; the duration selects which. */
function silenceLinks(
  world: IngressWorld,
  { address }: SimulatedControlMachine,
  forMs: number,
): void {
  const { wires, controls, balancers } = world;
  const others = [
    ...controls.filter((other) => other.address !== address).map((other) => other.address.host),
    ...balancers.map(({ host }) => host),
  ];
  const cutsInbound = forMs % 3 !== 1;
  const cutsOutbound = forMs % 3 !== 0;
  const setCut = (isCut: boolean) => {
    for (const other of others) {
      wires.cutOneWay(other, address.host, isCut && cutsInbound);
      wires.cutOneWay(address.host, other, isCut && cutsOutbound);
    }
  };
  setCut(true);
  scheduleEnd(world, forMs, () => setCut(false));
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
  scheduleStart(world, balancer, BALANCER_STOP_MS + forMs);
}

function scheduleStart(
  world: IngressWorld,
  balancer: SimulatedIngressBalancer,
  forMs: number,
): void {
  scheduleEnd(world, forMs, () => {
    if (balancer.process === undefined) {
      balancer.start();
    }
  });
}
