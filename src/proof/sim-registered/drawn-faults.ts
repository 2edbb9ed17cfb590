/**
 * @file Injects faults with random targets and durations into the simulated deployment. The number of control machines
 * that are unavailable at once is limited to the tolerable losses, except in faults that stop all and keep their disks.
 * The soak draws its faults in its own modules; sharing them would change every seeded run.
 */
import { SIMULATED_SERVICES } from './stand-in-operator.js';
import type { IngressWorld } from './ingress-world.js';
import { SIMULATED_ZONES } from './simulated-zones.js';
import { injectRestart, type RestartFaultKind } from './restart-faults.js';
import type { SimulatedControlMachine } from './simulated-control-machine.js';
import { LOSS_SHARE, ACK_LOSS_SHARE } from './deployment-constants.js';

/** The kinds of random faults; their order determines the run of a seed. */
export const drawnFaultKinds = [
  'control-killed',
  'control-powered-off',
  'control-wiped',
  'control-cut',
  'control-disk-full',
  'all-controls-killed',
  'balancer-killed',
  'balancer-cut',
  'balancer-frozen',
  'backend-crashed',
  'backend-replaced',
  'backend-replaced-at-its-address',
  'backend-leaves-at-once',
  'backend-reborn',
  'links-silent',
  'config-changed',
  'datagrams-lost',
  'acknowledgements-lost',
  'zone-evacuated',
  'backend-cut-from-control',
] as const;

/** A random fault or a restart of a back end. */
export type DrawnFaultKind = (typeof drawnFaultKinds)[number] | RestartFaultKind;

/** Fault durations are uniform from the minimum to the minimum plus the spread. */
const MIN_DURATION_MS = 1_000;
const DURATION_SPREAD_MS = 3_000;
/** Extra duration of cuts; can exceed the bound for applying a configuration. */
const CUT_SPREAD_MS = 6_000;
/** Extra duration of evacuations; durations lie below and above the evacuation bound. */
const EVACUATION_SPREAD_MS = 8_000;
/** Share of open links that the fault `links-silent` silences. */
const SILENT_LINK_SHARE = 0.3;

/** Injects random faults into a simulated deployment. */
export class DrawnFaults {
  private readonly unavailableControls = new Set<SimulatedControlMachine>();

  constructor(private readonly world: IngressWorld) {}

  /** Injects a fault of the given kind; skipped if too many control machines would be unavailable at once. */
  inject(kind: DrawnFaultKind): void {
    const { world } = this;
    world.log.push(`${world.clock.nowMs.toFixed(0)} fault ${kind}`);
    switch (kind) {
      case 'control-killed':
        this.failControl((control) => control.kill(), true);
        return;
      case 'control-powered-off':
        this.failControl((control) => control.powerOff(), true);
        return;
      case 'control-wiped':
        this.failControl((control) => control.wipe(), true);
        return;
      case 'control-cut':
        this.cutControl();
        return;
      case 'control-disk-full':
        this.fillDisk();
        return;
      case 'all-controls-killed':
        this.killAllControls();
        return;
      case 'balancer-killed':
        this.killBalancer();
        return;
      case 'balancer-cut':
        this.cutBalancer();
        return;
      case 'balancer-frozen':
        this.freezeBalancer();
        return;
      case 'config-changed':
        world.operator.declareNext();
        return;
      case 'backend-cut-from-control':
        this.cutBackend();
        return;
      case 'zone-evacuated':
        this.evacuateZone();
        return;
      case 'datagrams-lost':
        this.loseDatagrams();
        return;
      case 'acknowledgements-lost':
        this.loseAcknowledgements();
        return;
      case 'links-silent':
        world.wires.silenceLinks(SILENT_LINK_SHARE);
        this.recordDisturbance(0);
        return;
      case 'backend-reborn':
        this.replaceBackend();
        return;
      case 'backend-restarted':
      case 'backend-restarted-in-series':
      case 'backend-restarted-in-drain':
      case 'backend-restarted-elsewhere':
      case 'backend-restarted-at-address-of-another':
        injectRestart(world, kind);
        this.recordDisturbance(0);
        return;
      default:
        this.endBackend(kind);
    }
  }

  /** Wipes as many control machines as may be lost, powers off the others and kills all balancers; then restarts all. */
  wipeSomePowerOffRest(): void {
    const { world } = this;
    const { controls, options, random } = world;
    const first = random.nextInt(controls.length);
    controls.forEach((control, index) => {
      const offset = (index - first + controls.length) % controls.length;
      if (offset < options.tolerableLosses) {
        control.wipe();
      } else {
        control.powerOff();
      }
    });
    world.balancers.forEach((balancer) => balancer.kill());
    this.recordDisturbance(MIN_DURATION_MS);
    world.clock.after(MIN_DURATION_MS, () => {
      controls.forEach((control) => control.start(false));
      world.balancers.forEach((balancer) => balancer.start());
    });
  }

  private get nextDurationMs(): number {
    return MIN_DURATION_MS + this.world.random.nextFloat() * DURATION_SPREAD_MS;
  }

  private recordDisturbance(durationMs: number): void {
    this.world.oracle.recordDisturbance(this.world.clock.nowMs + durationMs);
  }

  private drawControl(): SimulatedControlMachine | undefined {
    const { controls, options, random } = this.world;
    const available = controls.filter((control) => !this.unavailableControls.has(control));
    const canLose = this.unavailableControls.size < options.tolerableLosses;
    return canLose ? available[random.nextInt(available.length)] : undefined;
  }

  /** A control machine counts as unavailable until it has had time to catch up. */
  private markUnavailable(control: SimulatedControlMachine, durationMs: number): void {
    this.unavailableControls.add(control);
    this.recordDisturbance(durationMs);
    this.world.clock.after(durationMs + this.world.options.catchUpMs, () => {
      this.unavailableControls.delete(control);
    });
  }

  private failControl(fail: (control: SimulatedControlMachine) => void, restarts: boolean): void {
    const control = this.drawControl();
    if (control === undefined) {
      return;
    }
    const durationMs = this.nextDurationMs;
    fail(control);
    this.markUnavailable(control, durationMs);
    if (restarts) {
      this.world.clock.after(durationMs, () => control.start(false));
    }
  }

  private cutControl(): void {
    const control = this.drawControl();
    if (control === undefined) {
      return;
    }
    const durationMs = this.nextDurationMs + this.world.random.nextFloat() * CUT_SPREAD_MS;
    const others = this.world.controls.filter((other) => other !== control);
    const cut = (isCut: boolean) =>
      others.forEach((other) =>
        this.world.wires.cut(control.address.host, other.address.host, isCut),
      );
    cut(true);
    this.markUnavailable(control, durationMs);
    this.world.clock.after(durationMs, () => cut(false));
  }

  private fillDisk(): void {
    const control = this.drawControl();
    if (control !== undefined) {
      const durationMs = this.nextDurationMs;
      control.disk.isFull = true;
      this.markUnavailable(control, durationMs);
      this.world.clock.after(durationMs, () => {
        control.disk.isFull = false;
      });
    }
  }

  /** Kills all control processes at once and restarts them with their disks. */
  private killAllControls(): void {
    const running = this.world.controls.filter(({ isRunning }) => isRunning);
    running.forEach((control) => control.kill());
    this.recordDisturbance(MIN_DURATION_MS);
    this.world.clock.after(MIN_DURATION_MS, () =>
      running.forEach((control) => control.start(false)),
    );
  }

  private killBalancer(): void {
    const { balancers, random, clock } = this.world;
    const balancer = balancers[random.nextInt(balancers.length)];
    const durationMs = this.nextDurationMs;
    balancer?.kill();
    this.recordDisturbance(durationMs);
    clock.after(durationMs, () => balancer?.start());
  }

  private cutBalancer(): void {
    const { balancers, controls, random, clock, wires } = this.world;
    const balancer = balancers[random.nextInt(balancers.length)];
    if (balancer === undefined) {
      return;
    }
    const durationMs = this.nextDurationMs;
    const cut = (isCut: boolean) =>
      controls.forEach(({ address }) => wires.cut(balancer.host, address.host, isCut));
    cut(true);
    this.recordDisturbance(durationMs);
    clock.after(durationMs, () => cut(false));
  }

  /** Suspends the process of a balancer, as when its machine is paused. */
  private freezeBalancer(): void {
    const { balancers, random } = this.world;
    const durationMs = this.nextDurationMs;
    balancers[random.nextInt(balancers.length)]?.freeze(durationMs);
    this.recordDisturbance(durationMs);
  }

  /** Evacuates a zone for some time; its back ends are cold at readmission. Evacuations may overlap. */
  private evacuateZone(): void {
    const { random, zoneOperator } = this.world;
    const zone = SIMULATED_ZONES[random.nextInt(SIMULATED_ZONES.length)] ?? 'zone-a';
    zoneOperator.evacuate(zone, MIN_DURATION_MS + random.nextFloat() * EVACUATION_SPREAD_MS);
  }

  /** Cuts a serving back end from all control machines; lost heartbeats alone must not mark it as dead. */
  private cutBackend(): void {
    const { backends, controls, random, wires, clock } = this.world;
    const alive = backends.filter(({ isAlive }) => isAlive);
    const backend = alive[random.nextInt(alive.length)];
    if (backend === undefined) {
      return;
    }
    const { host } = backend.identity.address;
    const cut = (isCut: boolean) =>
      controls.forEach(({ address }) => wires.cut(host, address.host, isCut));
    cut(true);
    clock.after(this.nextDurationMs + random.nextFloat() * CUT_SPREAD_MS, () => cut(false));
  }

  private loseDatagrams(): void {
    const { wires, clock } = this.world;
    const durationMs = this.nextDurationMs;
    wires.lossShare = LOSS_SHARE;
    this.recordDisturbance(durationMs);
    clock.after(durationMs, () => {
      wires.lossShare = 0;
    });
  }

  private loseAcknowledgements(): void {
    const { operator, clock } = this.world;
    operator.ackLossShare = ACK_LOSS_SHARE;
    clock.after(this.nextDurationMs, () => {
      operator.ackLossShare = 0;
    });
  }

  /** Replaces a crashed back end by a new one at its address; a heartbeat of the old one arrives late. */
  private replaceBackend(): void {
    const { world } = this;
    const alive = world.backends.filter(({ isAlive }) => isAlive);
    const backend = alive[world.random.nextInt(alive.length)];
    if (backend === undefined) {
      return;
    }
    const { service, address } = backend.identity;
    backend.crash();
    this.recordDisturbance(0);
    world.addBackend(service, address);
    world.clock.after(this.nextDurationMs, () => backend.deliverHeldUpHeartbeat());
  }

  private endBackend(kind: DrawnFaultKind): void {
    const { world } = this;
    const alive = world.backends.filter(({ isAlive }) => isAlive);
    const backend = alive[world.random.nextInt(alive.length)];
    if (backend === undefined) {
      return;
    }
    const { service, address } = backend.identity;
    if (kind === 'backend-crashed') {
      backend.crash();
      this.recordDisturbance(0);
      world.clock.after(MIN_DURATION_MS, () => world.addBackend(service));
      return;
    }
    if (kind === 'backend-replaced-at-its-address') {
      const other = SIMULATED_SERVICES.find((name) => name !== service) ?? service;
      world.addBackend(service);
      backend.leave(true, () => {
        world.clock.after(MIN_DURATION_MS, () => world.addBackend(other, address));
      });
      return;
    }
    world.addBackend(service);
    backend.leave(kind === 'backend-replaced', () => undefined);
  }
}
