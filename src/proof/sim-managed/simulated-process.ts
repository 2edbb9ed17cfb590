/**
 * @file Base of simulated processes: start, pause, resume, crash and graceful stop. Actions are
 * deferred while the process is paused and dropped while it is down.
 */
import type { RandomSource } from '../../shared/common/step.js';
import type { Simulation } from './simulation.js';
import type { ProcessKind, ProcessStatus } from './trace.js';

/** Deferred actions of a paused process, bounded like socket buffers; later ones are dropped. */
const MAX_DEFERRED_ACTIONS = 2_000;

/** Life cycle, timers and random source of a simulated process. */
export abstract class SimulatedProcess {
  status: 'down' | 'running' | 'paused' = 'down';
  readonly random: RandomSource;
  private readonly deferred: (() => void)[] = [];
  /** Incremented at each start and end, to invalidate the timers of earlier starts. */
  private generation = 0;

  constructor(
    readonly simulation: Simulation,
    readonly kind: ProcessKind,
    readonly name: string,
    readonly host: string,
    readonly zone: string,
  ) {
    this.random = simulation.fork();
    simulation.network.setZone(host, zone);
  }

  /** Starts the process with empty memory. */
  start(): void {
    if (this.status !== 'down') {
      return;
    }
    this.generation += 1;
    this.status = 'running';
    this.recordStatus('started');
    this.onStart();
  }

  /** Ends the process at once and discards its memory. */
  crash(): void {
    if (this.status === 'down') {
      return;
    }
    this.markDown();
    this.recordStatus('crashed');
    this.onDown();
  }

  /**
   * Ends the process after a graceful stop; `unfinished` counts requests or opens still in
   * progress.
   */
  protected completeStop(unfinished: number): void {
    this.markDown();
    this.recordStatus('stopped', unfinished);
    this.onDown();
  }

  pause(): void {
    if (this.status === 'running') {
      this.status = 'paused';
      this.recordStatus('paused');
    }
  }

  resume(): void {
    if (this.status !== 'paused') {
      return;
    }
    this.status = 'running';
    this.recordStatus('resumed');
    this.deferred.splice(0).forEach((action) => action());
  }

  /** Runs an action now, after the pause if the process is paused, or never if it is down. */
  perform(action: () => void): void {
    if (this.status === 'running') {
      action();
    } else if (this.status === 'paused' && this.deferred.length < MAX_DEFERRED_ACTIONS) {
      this.deferred.push(() => this.perform(action));
    }
  }

  /** Runs an action periodically until the process ends; skips it while the process is paused. */
  protected scheduleEvery(intervalMs: number, action: () => void): void {
    const { generation } = this;
    const tick = (): void => {
      if (generation !== this.generation || this.status === 'down') {
        return;
      }
      if (this.status === 'running') {
        action();
      }
      this.simulation.clock.after(intervalMs, tick);
    };
    // A random phase keeps processes that start together from ticking together.
    this.simulation.clock.after(this.random.nextFloat() * intervalMs, tick);
  }

  /** Runs an action after a delay unless the process has ended since. */
  protected schedule(delayMs: number, action: () => void): void {
    const { generation } = this;
    this.simulation.clock.after(delayMs, () => {
      if (generation === this.generation) {
        this.perform(action);
      }
    });
  }

  protected abstract onStart(): void;
  protected abstract onDown(): void;

  private markDown(): void {
    this.generation += 1;
    this.status = 'down';
    this.deferred.length = 0;
  }

  private recordStatus(status: ProcessStatus, unfinished?: number): void {
    const { kind, name } = this;
    const detail = unfinished === undefined ? {} : { unfinished };
    this.simulation.record({ type: 'process', kind, process: name, status, ...detail });
  }
}
