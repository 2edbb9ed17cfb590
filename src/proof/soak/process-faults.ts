/**
 * @file Injects faults into the real processes of a soak and into the links through their proxies. Faults of stand-ins are
 * in `stand-in-faults`.
 */
import { rm } from 'node:fs/promises';
import { match } from 'ts-pattern';
import type { ProxyMode } from './link-proxy.js';
import type { SoakFault } from './soak-schedule.js';
import type { SoakControl, SoakWorld } from './soak-world.js';
import { recordDisturbance, scheduleEnd, injectStandInFault } from './stand-in-faults.js';

/** Outage of `all-controls-killed`; also the interval of checks whether a stopping process has exited. */
const MIN_RESTART_DELAY_MS = 300;
/** Time after a start in which a process counts as disturbed; includes loading the program. */
const STARTUP_MS = 1_500;
const SLOW_LINK: ProxyMode = { type: 'slow', bytesPerS: 20_000, delayMs: 150 };
const DIRECTIONS = ['machine', 'others', 'both'] as const;

/** Injects a fault of a schedule and schedules its end. */
export function injectProcessFault(world: SoakWorld, fault: SoakFault): void {
  const { target, forMs } = fault;
  const control = world.controls[target % world.controls.length];
  const balancer = world.balancers[target % world.balancers.length];
  if (control === undefined || balancer === undefined) {
    return;
  }
  match(fault.kind)
    .with('control-killed', () =>
      takeDownControl(world, control, forMs, () => control.process.kill()),
    )
    .with('control-stopped', () =>
      takeDownControl(world, control, forMs, () => control.process.terminate()),
    )
    .with('control-wiped', () => wipeControl(world, control, forMs))
    .with('control-frozen', () => {
      control.process.freeze();
      scheduleEnd(world, forMs, () => control.process.resume());
    })
    .with('control-links-silent', () => {
      const towards = DIRECTIONS[forMs % DIRECTIONS.length] ?? 'both';
      setLinkMode(world, control, { type: 'silent', towards }, forMs);
    })
    .with('control-links-slow', () => setLinkMode(world, control, SLOW_LINK, forMs))
    .with('control-links-reset', () => {
      control.proxy.resetAllLinks();
      recordDisturbance(world, 0);
    })
    .with('control-open-links-silent', () => {
      control.proxy.silenceOpenLinks();
      recordDisturbance(world, 0);
    })
    .with('all-controls-killed', () => {
      world.controls.forEach((each) => {
        takeDownControl(world, each, MIN_RESTART_DELAY_MS, () => each.process.kill());
      });
    })
    .with('balancer-killed', () => {
      balancer.kill();
      scheduleStart(world, forMs, () => balancer.start());
    })
    .with('balancer-stopped', () => {
      balancer.terminate();
      scheduleStart(world, forMs, () => balancer.start());
    })
    .with('balancer-frozen', () => {
      balancer.freeze();
      scheduleEnd(world, forMs, () => balancer.resume());
    })
    .otherwise((kind) => injectStandInFault(world, kind, target, forMs));
}

function scheduleStart(world: SoakWorld, forMs: number, start: () => void): void {
  recordDisturbance(world, forMs + STARTUP_MS);
  world.clock.after(forMs, start);
}

function takeDownControl(
  world: SoakWorld,
  { process }: SoakControl,
  forMs: number,
  takeDown: () => void,
): void {
  takeDown();
  scheduleStart(world, forMs, () => startOnceExited(world, process));
}

/** A graceful stop may take longer than the fault: waits for the exit before the next start. */
function startOnceExited(world: SoakWorld, process: SoakControl['process']): void {
  if (process.isRunning) {
    recordDisturbance(world, STARTUP_MS);
    world.clock.after(MIN_RESTART_DELAY_MS, () => startOnceExited(world, process));
  } else {
    process.start();
  }
}

function wipeControl(world: SoakWorld, control: SoakControl, forMs: number): void {
  control.process.kill();
  recordDisturbance(world, forMs + STARTUP_MS);
  world.clock.after(forMs, () => {
    void rm(control.dataFolder, { recursive: true, force: true }).then(() =>
      startOnceExited(world, control.process),
    );
  });
}

function setLinkMode(
  world: SoakWorld,
  { proxy }: SoakControl,
  mode: ProxyMode,
  forMs: number,
): void {
  proxy.setMode(mode);
  scheduleEnd(world, forMs, () => proxy.setMode({ type: 'open' }));
}
