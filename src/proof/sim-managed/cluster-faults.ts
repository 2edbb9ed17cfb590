/**
 * @file The faults and planned changes that scenarios of the managed pair cause in a world: crashes, cuts, full disks, planned
 * restarts, back ends that leave. Each is recorded in the trace, so that the oracle knows what it excuses.
 */
import type { SimulatedBalancer } from './simulated-balancer.js';
import type { SimulatedControl } from './simulated-control.js';
import type { SimulatedProcess } from './simulated-process.js';
import { faultyNetwork, reliableNetwork } from '../virtual/virtual-network.js';
import type { PlacedBackend, World } from './world.js';

/** How long a back end that leaves may take until its process ends. */
const LEAVE_PATIENCE_MS = 70_000;
/** Time between two checks whether a drained back end is empty. */
const RETIRE_RETRY_MS = 1_000;

/** Causes faults in a world; each ends by itself. */
export class ClusterFaults {
  /** Faults and planned changes so far. */
  count = 0;
  private nextFaultId = 1;

  constructor(readonly world: World) {}

  /** A process dies and comes back. */
  crash(process: SimulatedProcess, downMs: number): void {
    if (process.status === 'down') {
      return;
    }
    this.count += 1;
    process.crash();
    this.startAgain(process, downMs);
  }

  /** A control machine loses power and comes back with what its disk had synced. */
  losePower(control: SimulatedControl, downMs: number): void {
    if (control.status === 'down') {
      return;
    }
    this.count += 1;
    control.losePower();
    this.startAgain(control, downMs);
  }

  /** A process stands still and goes on. */
  pause(process: SimulatedProcess, durationMs: number): void {
    if (process.status !== 'running') {
      return;
    }
    this.count += 1;
    process.pause();
    this.world.after(durationMs, () => process.resume());
  }

  /**
   * Processes are cut off from all others, silently.
   * @param direction packets that are lost: those to them, those from them, or both
   */
  cutOff(
    processes: readonly SimulatedProcess[],
    durationMs: number,
    direction: 'both' | 'to' | 'from' = 'both',
  ): void {
    this.count += 1;
    const { network } = this.world.simulation;
    const inside = new Set(processes.map(({ host }) => host));
    const outside = new Set(this.allHosts().filter((host) => !inside.has(host)));
    const cuts = [
      ...(direction === 'to' ? [] : [network.cut({ from: inside, to: outside })]),
      ...(direction === 'from' ? [] : [network.cut({ from: outside, to: inside })]),
    ];
    const targets = processes.map(({ name }) => name);
    this.during(`cut-${direction}`, targets, durationMs, () =>
      cuts.forEach((id) => network.heal(id)),
    );
  }

  /** Two groups of processes no longer reach each other; they reach all others. */
  cutLinks(
    group: readonly SimulatedProcess[],
    others: readonly SimulatedProcess[],
    durationMs: number,
  ): void {
    this.count += 1;
    const { network } = this.world.simulation;
    const one = new Set(group.map(({ host }) => host));
    const other = new Set(others.map(({ host }) => host));
    const cuts = [network.cut({ from: one, to: other }), network.cut({ from: other, to: one })];
    const targets = group.map(({ name }) => name);
    this.during('cut-links', targets, durationMs, () => cuts.forEach((id) => network.heal(id)));
  }

  /** Records which back ends ignore their drain, so that the oracle excuses them. */
  recordIgnoredDrains(backends: readonly PlacedBackend[]): void {
    const targets = backends.map(({ process }) => process.name);
    this.during('ignores-drain', targets, 0, () => undefined);
  }

  /** The network loses, doubles and reorders datagrams. */
  spoilNetwork(durationMs: number): void {
    this.count += 1;
    const { network } = this.world.simulation;
    network.faults = faultyNetwork;
    this.during('bad-network', [], durationMs, () => {
      network.faults = reliableNetwork;
    });
  }

  /** The disk of a control machine is full. */
  fillDisk(control: SimulatedControl, durationMs: number): void {
    this.count += 1;
    control.disk.isFull = true;
    this.during('full-disk', [control.name], durationMs, () => {
      control.disk.isFull = false;
      this.startAgain(control, 0);
    });
  }

  /** Answers to operators are lost, so that they send their commands again. */
  loseAnswers(share: number, durationMs: number): void {
    this.count += 1;
    const operators = [...this.world.operators.values()];
    operators.forEach((operator) => (operator.answerLossShare = share));
    this.during('lost-answers', [], durationMs, () =>
      operators.forEach((operator) => (operator.answerLossShare = 0)),
    );
  }

  /** A planned stop of a balancer, which comes back. */
  restartBalancer(balancer: SimulatedBalancer, downMs: number): void {
    if (balancer.status !== 'running' || !balancer.isListed) {
      return;
    }
    this.count += 1;
    balancer.stop();
    this.world.updateList();
    this.startAgain(balancer, this.world.plan.stopGraceMs + downMs);
  }

  /** A planned stop of a control machine, which comes back. */
  restartControl(control: SimulatedControl, downMs: number): void {
    if (control.status !== 'running') {
      return;
    }
    this.count += 1;
    control.stop();
    this.startAgain(control, downMs);
  }

  /** A back end leaves: drained, and once it is empty its process ends and it is retired. */
  leave(placed: PlacedBackend, done: () => void = () => undefined): void {
    const { process, service, backendId } = placed;
    if (placed.wish !== 'active' || backendId === undefined) {
      return;
    }
    this.count += 1;
    placed.wish = 'draining';
    const drain = { type: 'drain-backend' as const, backendId };
    this.world.command(service, process.name, drain, (outcome) => {
      if (outcome.accepted) {
        this.retireOnceEmpty(placed, LEAVE_PATIENCE_MS, done);
      }
    });
  }

  /** Replaces a back end by a new one: the new one first. */
  replace(placed: PlacedBackend, patienceMs: number): void {
    if (placed.wish === 'active' && placed.backendId !== undefined) {
      this.world.addBackend(placed.service);
      this.world.after(patienceMs, () => this.leave(placed));
    }
  }

  private retireOnceEmpty(placed: PlacedBackend, patienceMs: number, done: () => void): void {
    const { process, service, backendId } = placed;
    const isEmpty = process.state.flows.size === 0 || process.status === 'down';
    if (!isEmpty && patienceMs > 0) {
      this.world.after(RETIRE_RETRY_MS, () =>
        this.retireOnceEmpty(placed, patienceMs - RETIRE_RETRY_MS, done),
      );
      return;
    }
    if (backendId === undefined) {
      return;
    }
    const retire = { type: 'retire-backend' as const, backendId };
    this.world.command(service, process.name, retire, (outcome) => {
      if (outcome.accepted) {
        placed.wish = 'retired';
        process.endPlanned();
        done();
      }
    });
  }

  /** Comes back where it is down by then; a planned stop may take longer. */
  private startAgain(process: SimulatedProcess, afterMs: number): void {
    this.world.updateList();
    this.world.after(afterMs, () => {
      if (process.status !== 'down') {
        this.world.after(RETIRE_RETRY_MS, () => this.startIfDown(process));
      }
      this.startIfDown(process);
    });
  }

  private startIfDown(process: SimulatedProcess): void {
    const isRetired = this.world.backends.some(
      (placed) => placed.process === process && placed.wish === 'retired',
    );
    if (!isRetired) {
      process.start();
      this.world.updateList();
    }
  }

  private during(
    fault: string,
    targets: readonly string[],
    durationMs: number,
    end: () => void,
  ): void {
    const faultId = this.nextFaultId;
    this.nextFaultId += 1;
    const { simulation } = this.world;
    simulation.record({ type: 'fault', faultId, fault, targets, phase: 'begins' });
    this.world.after(durationMs, () => {
      end();
      simulation.record({ type: 'fault', faultId, fault, targets, phase: 'ends' });
    });
  }

  private allHosts(): string[] {
    const { controls, balancers, backends, callers, operators, fabric } = this.world;
    const processes = [
      ...callers,
      ...controls,
      ...balancers,
      ...backends.map(({ process }) => process),
      ...operators.values(),
      fabric,
    ];
    return processes.map(({ host }) => host);
  }
}
