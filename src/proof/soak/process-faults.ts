/**
 * @file Faults of the soak's real processes and of the links through their proxies: killed, stopped, frozen, wiped, slow, silent.
 * Faults that no process of the product takes part in are those of `stand-in-faults`.
 */
import { rm } from 'node:fs/promises';
import { match } from 'ts-pattern';
import type { ProxyMode } from './link-proxy.js';
import type { SoakFault } from './soak-schedule.js';
import type { SoakControl, SoakWorld } from './soak-world.js';
import { disturb, endLater, strikeStandIns } from './stand-in-faults.js';

/** A process that was killed is started again after this time at the least, in milliseconds. */
const RESTART_MS = 300;
/** How long after a start a process counts as disturbed: loading the program takes some of a second. */
const START_MS = 1_500;
const SLOW_LINK: ProxyMode = { type: 'slow', bytesPerS: 20_000, delayMs: 150 };
const DIRECTIONS = ['machine', 'others', 'both'] as const;

/** Causes a fault of a schedule; it ends by itself. */
export function strikeProcess(world: SoakWorld, fault: SoakFault): void {
  const { target, forMs } = fault;
  const control = world.controls[target % world.controls.length];
  const balancer = world.balancers[target % world.balancers.length];
  if (control === undefined || balancer === undefined) {
    return;
  }
  match(fault.kind)
    .with('control-killed', () => loseControl(world, control, forMs, () => control.process.kill()))
    .with('control-stopped', () =>
      loseControl(world, control, forMs, () => control.process.terminate()),
    )
    .with('control-wiped', () => wipeControl(world, control, forMs))
    .with('control-frozen', () => {
      control.process.freeze();
      endLater(world, forMs, () => control.process.wake());
    })
    .with('control-links-silent', () => {
      const towards = DIRECTIONS[forMs % DIRECTIONS.length] ?? 'both';
      changeLinks(world, control, { type: 'silent', towards }, forMs);
    })
    .with('control-links-slow', () => changeLinks(world, control, SLOW_LINK, forMs))
    .with('control-links-reset', () => {
      control.proxy.resetAll();
      disturb(world, 0);
    })
    .with('control-open-links-silent', () => {
      control.proxy.silenceOpen();
      disturb(world, 0);
    })
    .with('all-controls-killed', () => {
      world.controls.forEach((each) => {
        loseControl(world, each, RESTART_MS, () => each.process.kill());
      });
    })
    .with('balancer-killed', () => {
      balancer.kill();
      startLater(world, forMs, () => balancer.start());
    })
    .with('balancer-stopped', () => {
      balancer.terminate();
      startLater(world, forMs, () => balancer.start());
    })
    .with('balancer-frozen', () => {
      balancer.freeze();
      endLater(world, forMs, () => balancer.wake());
    })
    .otherwise((kind) => strikeStandIns(world, kind, target, forMs));
}

/** A process that stops may take its time: it is started once it has ended. */
function startLater(world: SoakWorld, forMs: number, start: () => void): void {
  disturb(world, forMs + START_MS);
  world.clock.after(forMs, start);
}

function loseControl(
  world: SoakWorld,
  { process }: SoakControl,
  forMs: number,
  lose: () => void,
): void {
  lose();
  startLater(world, forMs, () => startOnceEnded(world, process));
}

function startOnceEnded(world: SoakWorld, process: SoakControl['process']): void {
  if (process.isRunning) {
    disturb(world, START_MS);
    world.clock.after(RESTART_MS, () => startOnceEnded(world, process));
  } else {
    process.start();
  }
}

function wipeControl(world: SoakWorld, control: SoakControl, forMs: number): void {
  control.process.kill();
  disturb(world, forMs + START_MS);
  world.clock.after(forMs, () => {
    void rm(control.dataFolder, { recursive: true, force: true }).then(() =>
      startOnceEnded(world, control.process),
    );
  });
}

function changeLinks(
  world: SoakWorld,
  { proxy }: SoakControl,
  mode: ProxyMode,
  forMs: number,
): void {
  proxy.setMode(mode);
  endLater(world, forMs, () => proxy.setMode({ type: 'open' }));
}
