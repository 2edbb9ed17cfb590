/**
 * @file Faults of the simulated deployment, with their targets and times drawn from a seed. Control machines that are lost at
 * the same time stay within what the deployment must survive, but for faults that take all of them and give their disks
 * back. The schedules of the soak have targets and times of their own (`soak/stand-in-faults`, `soak/virtual-soak`); drawing
 * here and there from one module would change the runs of kept seeds.
 */
import { SIMULATED_SERVICES } from './stand-in-operator.js';
import type { IngressWorld } from './ingress-world.js';
import { SIMULATED_ZONES } from './simulated-zones.js';
import { strikeRestart, type RestartFaultKind } from './restart-faults.js';
import type { SimulatedControlMachine } from './simulated-control-machine.js';
import { LOSS_SHARE, ACK_LOSS_SHARE } from './deployment-constants.js';

/** What can happen. */
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

/** One kind of fault. */
export type DrawnFaultKind = (typeof drawnFaultKinds)[number] | RestartFaultKind;

/** Faults last from this time on, and up to the spread longer. */
const SHORT_MS = 1_000;
const SPREAD_MS = 3_000;
/** Cuts may outlast the time within which a configuration is in force. */
const LONG_CUT_MS = 6_000;
/** Evacuations last from less than the time within which they are in force everywhere to more than that. */
const LONG_EVACUATION_MS = 8_000;
/** Share of open links that the fault `links-silent` silences. */
const SILENT_LINK_SHARE = 0.3;

/** Causes faults. */
export class DrawnFaults {
  private readonly lostControls = new Set<SimulatedControlMachine>();

  constructor(private readonly world: IngressWorld) {}

  /** Causes a fault of a drawn kind; none where it would lose too much at once. */
  strike(kind: DrawnFaultKind): void {
    const { world } = this;
    world.log.push(`${world.clock.nowMs.toFixed(0)} fault ${kind}`);
    switch (kind) {
      case 'control-killed':
        this.loseControl((control) => control.kill(), true);
        return;
      case 'control-powered-off':
        this.loseControl((control) => control.powerOff(), true);
        return;
      case 'control-wiped':
        this.loseControl((control) => control.wipe(), true);
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
        this.disturb(0);
        return;
      case 'backend-reborn':
        this.replaceBackend();
        return;
      case 'backend-restarted':
      case 'backend-restarted-in-series':
      case 'backend-restarted-in-drain':
      case 'backend-restarted-elsewhere':
      case 'backend-restarted-at-address-of-another':
        strikeRestart(world, kind);
        this.disturb(0);
        return;
      default:
        this.endBackend(kind);
    }
  }

  /** Two disks are lost and all other machines lose power, right after an acknowledgement. */
  wipeSomePowerOffAll(): void {
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
    this.disturb(SHORT_MS);
    world.clock.after(SHORT_MS, () => {
      controls.forEach((control) => control.start(false));
      world.balancers.forEach((balancer) => balancer.start());
    });
  }

  private get durationMs(): number {
    return SHORT_MS + this.world.random.nextFloat() * SPREAD_MS;
  }

  private disturb(forMs: number): void {
    this.world.oracle.recordDisturbance(this.world.clock.nowMs + forMs);
  }

  private drawControl(): SimulatedControlMachine | undefined {
    const { controls, options, random } = this.world;
    const free = controls.filter((control) => !this.lostControls.has(control));
    const canLose = this.lostControls.size < options.tolerableLosses;
    return canLose ? free[random.nextInt(free.length)] : undefined;
  }

  /** A machine counts as lost until it has had time to catch up. */
  private countAsLost(control: SimulatedControlMachine, forMs: number): void {
    this.lostControls.add(control);
    this.disturb(forMs);
    this.world.clock.after(forMs + this.world.options.catchUpMs, () => {
      this.lostControls.delete(control);
    });
  }

  private loseControl(lose: (control: SimulatedControlMachine) => void, returns: boolean): void {
    const control = this.drawControl();
    if (control === undefined) {
      return;
    }
    const forMs = this.durationMs;
    lose(control);
    this.countAsLost(control, forMs);
    if (returns) {
      this.world.clock.after(forMs, () => control.start(false));
    }
  }

  private cutControl(): void {
    const control = this.drawControl();
    if (control === undefined) {
      return;
    }
    const forMs = this.durationMs + this.world.random.nextFloat() * LONG_CUT_MS;
    const others = this.world.controls.filter((other) => other !== control);
    const cut = (isCut: boolean) =>
      others.forEach((other) =>
        this.world.wires.cut(control.address.host, other.address.host, isCut),
      );
    cut(true);
    this.countAsLost(control, forMs);
    this.world.clock.after(forMs, () => cut(false));
  }

  private fillDisk(): void {
    const control = this.drawControl();
    if (control !== undefined) {
      const forMs = this.durationMs;
      control.disk.isFull = true;
      this.countAsLost(control, forMs);
      this.world.clock.after(forMs, () => {
        control.disk.isFull = false;
      });
    }
  }

  /** All processes end at once and come back with their disks. */
  private killAllControls(): void {
    const running = this.world.controls.filter(({ isRunning }) => isRunning);
    running.forEach((control) => control.kill());
    this.disturb(SHORT_MS);
    this.world.clock.after(SHORT_MS, () => running.forEach((control) => control.start(false)));
  }

  private killBalancer(): void {
    const { balancers, random, clock } = this.world;
    const balancer = balancers[random.nextInt(balancers.length)];
    const forMs = this.durationMs;
    balancer?.kill();
    this.disturb(forMs);
    clock.after(forMs, () => balancer?.start());
  }

  private cutBalancer(): void {
    const { balancers, controls, random, clock, wires } = this.world;
    const balancer = balancers[random.nextInt(balancers.length)];
    if (balancer === undefined) {
      return;
    }
    const forMs = this.durationMs;
    const cut = (isCut: boolean) =>
      controls.forEach(({ address }) => wires.cut(balancer.host, address.host, isCut));
    cut(true);
    this.disturb(forMs);
    clock.after(forMs, () => cut(false));
  }

  /** The process stands still and goes on, as a machine does that is paused. */
  private freezeBalancer(): void {
    const { balancers, random } = this.world;
    const forMs = this.durationMs;
    balancers[random.nextInt(balancers.length)]?.freeze(forMs);
    this.disturb(forMs);
  }

  /** A zone is emptied for a while; its back ends are cold when it is readmitted. Two may overlap. */
  private evacuateZone(): void {
    const { random, zoneOperator } = this.world;
    const zone = SIMULATED_ZONES[random.nextInt(SIMULATED_ZONES.length)] ?? 'zone-a';
    zoneOperator.evacuate(zone, SHORT_MS + random.nextFloat() * LONG_EVACUATION_MS);
  }

  /** Its heartbeats are lost while it serves: it must not be considered dead. */
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
    clock.after(this.durationMs + random.nextFloat() * LONG_CUT_MS, () => cut(false));
  }

  private loseDatagrams(): void {
    const { wires, clock } = this.world;
    const forMs = this.durationMs;
    wires.lossShare = LOSS_SHARE;
    this.disturb(forMs);
    clock.after(forMs, () => {
      wires.lossShare = 0;
    });
  }

  private loseAcknowledgements(): void {
    const { operator, clock } = this.world;
    operator.lostShare = ACK_LOSS_SHARE;
    clock.after(this.durationMs, () => {
      operator.lostShare = 0;
    });
  }

  /** A back end crashes and starts again at its address; a heartbeat from before comes late. */
  private replaceBackend(): void {
    const { world } = this;
    const alive = world.backends.filter(({ isAlive }) => isAlive);
    const backend = alive[world.random.nextInt(alive.length)];
    if (backend === undefined) {
      return;
    }
    const { service, address } = backend.identity;
    backend.crash();
    this.disturb(0);
    world.addBackend(service, address);
    world.clock.after(this.durationMs, () => backend.deliverHeldUpHeartbeat());
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
      this.disturb(0);
      world.clock.after(SHORT_MS, () => world.addBackend(service));
      return;
    }
    if (kind === 'backend-replaced-at-its-address') {
      const other = SIMULATED_SERVICES.find((name) => name !== service) ?? service;
      world.addBackend(service);
      backend.leave(true, () => {
        world.clock.after(SHORT_MS, () => world.addBackend(other, address));
      });
      return;
    }
    world.addBackend(service);
    backend.leave(kind === 'backend-replaced', () => undefined);
  }
}
