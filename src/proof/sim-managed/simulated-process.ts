/**
 * @file A simulated process: it starts, is paused and resumed, crashes, and ends. What comes while it is
 * paused waits; what comes while it is down is lost.
 */
import type { RandomSource } from '../../shared/common/step.js';
import type { Simulation } from './simulation.js';
import type { ProcessKind, ProcessStatus } from './trace.js';

/** What waits at most for a paused process, as in the buffers of its sockets. */
const MAX_WAITING = 2_000;

/** Base of all simulated processes. */
export abstract class SimulatedProcess {
  status: 'down' | 'running' | 'paused' = 'down';
  readonly random: RandomSource;
  private readonly waiting: (() => void)[] = [];
  /** Counts the starts; timers of earlier ones end. */
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

  /** Starts the process with nothing in memory. */
  start(): void {
    if (this.status !== 'down') {
      return;
    }
    this.generation += 1;
    this.status = 'running';
    this.recordStatus('started');
    this.onStart();
  }

  /** The process dies with all that it holds in memory. */
  crash(): void {
    if (this.status === 'down') {
      return;
    }
    this.end();
    this.recordStatus('crashed');
    this.onDown();
  }

  /** Ends at its own wish. */
  protected stopped(unfinished: number): void {
    this.end();
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
    this.waiting.splice(0).forEach((action) => action());
  }

  /** Does something in the process: now, after a pause, or never. */
  perform(action: () => void): void {
    if (this.status === 'running') {
      action();
    } else if (this.status === 'paused' && this.waiting.length < MAX_WAITING) {
      this.waiting.push(() => this.perform(action));
    }
  }

  /** Does something regularly while this start of the process lasts; not while it is paused. */
  protected every(intervalMs: number, action: () => void): void {
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
    // Processes that start together do not tick together.
    this.simulation.clock.after(this.random.nextFloat() * intervalMs, tick);
  }

  /** Does something later, where this start of the process still lasts. */
  protected later(delayMs: number, action: () => void): void {
    const { generation } = this;
    this.simulation.clock.after(delayMs, () => {
      if (generation === this.generation) {
        this.perform(action);
      }
    });
  }

  protected abstract onStart(): void;
  protected abstract onDown(): void;

  private end(): void {
    this.generation += 1;
    this.status = 'down';
    this.waiting.length = 0;
  }

  private recordStatus(status: ProcessStatus, unfinished?: number): void {
    const { kind, name } = this;
    const detail = unfinished === undefined ? {} : { unfinished };
    this.simulation.record({ type: 'process', kind, process: name, status, ...detail });
  }
}
