/**
 * @file Faults at random moments of a run: balancers and control machines that are killed, paused or
 * cut off, from a seed.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../../shared/common/step.js';
import type { Cluster, ClusterBalancer, ClusterControl } from './cluster.js';
import type { FleetContext } from './replacements.js';
import type { FaultKind } from './scenario.js';

/** Share of the faults that strike a control machine. */
const CONTROL_SHARE = 0.3;
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 3_000;
/** A machine that is cut off stays so for longer than a pause. */
const MIN_CUT_MS = 4_000;
const MAX_CUT_MS = 8_000;
/** Time until a killed machine is started again. */
const RESTART_DELAY_MS = 2_000;

/** One planned fault. */
export interface PlannedFault {
  /** From the start of the faults. */
  readonly afterMs: number;
  readonly kind: FaultKind;
  readonly target: 'balancer' | 'control';
  /** Chooses among the machines that are up then, from 0 to 1. */
  readonly choice: number;
  /** How long a pause or cut lasts. */
  readonly durationMs: number;
}

/**
 * @returns the faults of a run, in the order of their times; the same seed gives the same ones
 */
export function planFaults(
  random: RandomSource,
  options: {
    readonly count: number;
    readonly overMs: number;
    readonly kinds: readonly FaultKind[];
  },
): PlannedFault[] {
  const faults = Array.from({ length: options.count }, (): PlannedFault => {
    const kind = options.kinds[random.nextInt(options.kinds.length)] ?? 'kill';
    const [min, max] = kind === 'cut' ? [MIN_CUT_MS, MAX_CUT_MS] : [MIN_PAUSE_MS, MAX_PAUSE_MS];
    return {
      afterMs: random.nextFloat() * options.overMs,
      kind,
      target: random.nextFloat() < CONTROL_SHARE ? 'control' : 'balancer',
      choice: random.nextFloat(),
      durationMs: min + random.nextFloat() * (max - min),
    };
  });
  return faults.sort((left, right) => left.afterMs - right.afterMs);
}

/** Inflicts faults on a cluster. */
export class FaultInjector {
  private readonly cutBalancers = new Set<ClusterBalancer>();
  private skipped = 0;

  constructor(private readonly context: FleetContext) {}

  /** Faults that found no machine to strike. */
  get skippedCount(): number {
    return this.skipped;
  }

  /** Resolves once every fault is over and every killed machine has started again. */
  async run(faults: readonly PlannedFault[]): Promise<void> {
    const running = faults.map(async (fault) => {
      await sleep(fault.afterMs);
      await (fault.target === 'control' ? this.strikeControl(fault) : this.strikeBalancer(fault));
    });
    await Promise.all(running);
  }

  private async strikeBalancer(fault: PlannedFault): Promise<void> {
    const { cluster, recorder } = this.context;
    const up = cluster.balancers.filter((one) => one.isUp && !this.cutBalancers.has(one));
    const balancer = up[Math.floor(fault.choice * up.length)];
    if (balancer === undefined || up.length <= cluster.balancers.length / 2) {
      this.skipped += 1;
      return;
    }
    recorder.note(describe(fault, balancer.nodeId));
    if (fault.kind === 'kill') {
      balancer.process.signal('SIGKILL');
      cluster.removeBalancer(balancer);
      await sleep(RESTART_DELAY_MS);
      await cluster.startBalancer();
      await cluster.publishBalancersLate();
    } else if (fault.kind === 'pause') {
      await pause(balancer, fault.durationMs);
    } else {
      await this.cutFromFabric(cluster, balancer, fault.durationMs);
    }
  }

  private async cutFromFabric(
    cluster: Cluster,
    balancer: ClusterBalancer,
    durationMs: number,
  ): Promise<void> {
    this.cutBalancers.add(balancer);
    await cluster.cut([...this.cutBalancers].map(({ address }) => address));
    await sleep(durationMs);
    this.cutBalancers.delete(balancer);
    await cluster.cut([...this.cutBalancers].map(({ address }) => address));
  }

  /** At most one control machine is down at a time, so that the others still have a quorum. */
  private async strikeControl(fault: PlannedFault): Promise<void> {
    const { cluster, recorder } = this.context;
    const up = cluster.controls.filter((control) => control.isUp);
    const control = up[Math.floor(fault.choice * up.length)];
    if (control === undefined || up.length < cluster.controls.length) {
      this.skipped += 1;
      return;
    }
    recorder.note(describe(fault, control.nodeId));
    if (fault.kind === 'kill') {
      control.isUp = false;
      control.process.signal('SIGKILL');
      await control.process.exited;
      await sleep(RESTART_DELAY_MS);
      await cluster.restartControl(control);
    } else {
      await pause(control, fault.durationMs);
    }
  }
}

async function pause(machine: ClusterBalancer | ClusterControl, durationMs: number): Promise<void> {
  machine.isUp = false;
  machine.process.signal('SIGSTOP');
  await sleep(durationMs);
  machine.process.signal('SIGCONT');
  machine.isUp = true;
}

function describe({ kind, durationMs }: PlannedFault, nodeId: string): string {
  const seconds = (durationMs / 1_000).toFixed(1);
  return kind === 'kill' ? `kill ${nodeId}` : `${kind} ${nodeId} for ${seconds} s`;
}
