/**
 * @file Injects faults and planned changes into a simulated world: crashes, network partitions,
 * full disks, restarts and back-end removals. Each is recorded in the trace, because the oracle
 * excuses some effects of a fault.
 */
import type { SimulatedBalancer } from './simulated-balancer.js';
import type { SimulatedControl } from './simulated-control.js';
import type { SimulatedProcess } from './simulated-process.js';
import { faultyNetwork, reliableNetwork } from '../virtual/virtual-network.js';
import type { DeployedBackend, World } from './world.js';

/** Longest time a draining back end may take to become empty. */
const DRAIN_TIMEOUT_MS = 70_000;
/** Interval between checks for an empty back end or an ended process. */
const RECHECK_INTERVAL_MS = 1_000;

/** Injects faults into a world; each ends after its duration. */
export class ClusterFaults {
  /** Number of faults and planned changes so far. */
  count = 0;
  private nextFaultId = 1;

  constructor(readonly world: World) {}

  /** Crashes a process and starts it again after `downMs`. */
  crash(process: SimulatedProcess, downMs: number): void {
    if (process.status === 'down') {
      return;
    }
    this.count += 1;
    process.crash();
    this.scheduleStart(process, downMs);
  }

  /** Cuts the power of a control machine; it restarts with the data that its disk had synced. */
  losePower(control: SimulatedControl, downMs: number): void {
    if (control.status === 'down') {
      return;
    }
    this.count += 1;
    control.losePower();
    this.scheduleStart(control, downMs);
  }

  /** Pauses a process for a while. */
  pause(process: SimulatedProcess, durationMs: number): void {
    if (process.status !== 'running') {
      return;
    }
    this.count += 1;
    process.pause();
    this.world.after(durationMs, () => process.resume());
  }

  /**
   * Partitions processes from all others by dropping packets without an error.
   * @param direction which packets are dropped: those to the processes, those from them, or both
   */
  cutOff(
    processes: readonly SimulatedProcess[],
    durationMs: number,
    direction: 'both' | 'to' | 'from' = 'both',
  ): void {
    this.count += 1;
    const { network } = this.world.simulation;
    const isolated = new Set(processes.map(({ host }) => host));
    const remaining = new Set(this.allHosts().filter((host) => !isolated.has(host)));
    const cuts = [
      ...(direction === 'to' ? [] : [network.cut({ from: isolated, to: remaining })]),
      ...(direction === 'from' ? [] : [network.cut({ from: remaining, to: isolated })]),
    ];
    const targets = processes.map(({ name }) => name);
    this.recordFault(`cut-${direction}`, targets, durationMs, () =>
      cuts.forEach((id) => network.heal(id)),
    );
  }

  /** Partitions two groups from each other; both still reach all other processes. */
  cutLinks(
    groupA: readonly SimulatedProcess[],
    groupB: readonly SimulatedProcess[],
    durationMs: number,
  ): void {
    this.count += 1;
    const { network } = this.world.simulation;
    const hostsA = new Set(groupA.map(({ host }) => host));
    const hostsB = new Set(groupB.map(({ host }) => host));
    const cuts = [
      network.cut({ from: hostsA, to: hostsB }),
      network.cut({ from: hostsB, to: hostsA }),
    ];
    const targets = groupA.map(({ name }) => name);
    this.recordFault('cut-links', targets, durationMs, () =>
      cuts.forEach((id) => network.heal(id)),
    );
  }

  /** Records the back ends that ignore drain requests, so that the oracle excuses them. */
  recordIgnoredDrains(backends: readonly DeployedBackend[]): void {
    const targets = backends.map(({ process }) => process.name);
    this.recordFault('ignores-drain', targets, 0, () => undefined);
  }

  /** Makes the network lose, duplicate and reorder datagrams. */
  degradeNetwork(durationMs: number): void {
    this.count += 1;
    const { network } = this.world.simulation;
    network.faults = faultyNetwork;
    this.recordFault('bad-network', [], durationMs, () => {
      network.faults = reliableNetwork;
    });
  }

  /** Makes writes to the disk of a control machine fail because the disk is full. */
  fillDisk(control: SimulatedControl, durationMs: number): void {
    this.count += 1;
    control.disk.isFull = true;
    this.recordFault('full-disk', [control.name], durationMs, () => {
      control.disk.isFull = false;
      this.scheduleStart(control, 0);
    });
  }

  /** Drops a share of the answers to operators, so that they retry their commands. */
  loseAnswers(lossRate: number, durationMs: number): void {
    this.count += 1;
    const operators = [...this.world.operators.values()];
    operators.forEach((operator) => (operator.answerLossRate = lossRate));
    this.recordFault('lost-answers', [], durationMs, () =>
      operators.forEach((operator) => (operator.answerLossRate = 0)),
    );
  }

  /** Stops a balancer gracefully and starts it again. */
  restartBalancer(balancer: SimulatedBalancer, downMs: number): void {
    if (balancer.status !== 'running' || !balancer.isListed) {
      return;
    }
    this.count += 1;
    balancer.stop();
    this.world.updateBalancerList();
    this.scheduleStart(balancer, this.world.plan.stopGraceMs + downMs);
  }

  /** Stops a control machine gracefully and starts it again. */
  restartControl(control: SimulatedControl, downMs: number): void {
    if (control.status !== 'running') {
      return;
    }
    this.count += 1;
    control.stop();
    this.scheduleStart(control, downMs);
  }

  /**
   * Drains a back end, then retires it and stops its process once it is empty or the drain times
   * out.
   */
  drainAndRetire(backend: DeployedBackend, done: () => void = () => undefined): void {
    const { process, service, backendId } = backend;
    if (backend.requestedState !== 'active' || backendId === undefined) {
      return;
    }
    this.count += 1;
    backend.requestedState = 'draining';
    const drain = { type: 'drain-backend' as const, backendId };
    this.world.command(service, process.name, drain, (outcome) => {
      if (outcome.accepted) {
        this.retireWhenEmpty(backend, DRAIN_TIMEOUT_MS, done);
      }
    });
  }

  /** Adds a new back end, and drains the old one after a delay. */
  replace(backend: DeployedBackend, drainDelayMs: number): void {
    if (backend.requestedState === 'active' && backend.backendId !== undefined) {
      this.world.addBackend(backend.service);
      this.world.after(drainDelayMs, () => this.drainAndRetire(backend));
    }
  }

  private retireWhenEmpty(backend: DeployedBackend, remainingMs: number, done: () => void): void {
    const { process, service, backendId } = backend;
    const isEmpty = process.state.flows.size === 0 || process.status === 'down';
    if (!isEmpty && remainingMs > 0) {
      this.world.after(RECHECK_INTERVAL_MS, () =>
        this.retireWhenEmpty(backend, remainingMs - RECHECK_INTERVAL_MS, done),
      );
      return;
    }
    if (backendId === undefined) {
      return;
    }
    const retire = { type: 'retire-backend' as const, backendId };
    this.world.command(service, process.name, retire, (outcome) => {
      if (outcome.accepted) {
        backend.requestedState = 'retired';
        process.stop();
        done();
      }
    });
  }

  /**
   * Starts the process after a delay, with one more attempt if a graceful stop has not ended by
   * then.
   */
  private scheduleStart(process: SimulatedProcess, afterMs: number): void {
    this.world.updateBalancerList();
    this.world.after(afterMs, () => {
      if (process.status !== 'down') {
        this.world.after(RECHECK_INTERVAL_MS, () => this.startIfDown(process));
      }
      this.startIfDown(process);
    });
  }

  private startIfDown(process: SimulatedProcess): void {
    const isRetired = this.world.backends.some(
      (backend) => backend.process === process && backend.requestedState === 'retired',
    );
    if (!isRetired) {
      process.start();
      this.world.updateBalancerList();
    }
  }

  /** Records the start of a fault now and its end after the duration. */
  private recordFault(
    fault: string,
    targets: readonly string[],
    durationMs: number,
    onEnd: () => void,
  ): void {
    const faultId = this.nextFaultId;
    this.nextFaultId += 1;
    const { simulation } = this.world;
    simulation.record({ type: 'fault', faultId, fault, targets, phase: 'begins' });
    this.world.after(durationMs, () => {
      onEnd();
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
