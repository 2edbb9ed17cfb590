/**
 * @file Retransmission timer with exponential backoff and jitter.
 */
import type { StepContext } from '../../shared/common/step.js';

const BACKOFF_FACTOR = 2;
/** Random deviation of each delay in both directions, so that senders do not synchronize. */
const JITTER_FRACTION = 0.2;

/** The bounds of a backoff, in milliseconds. */
export interface BackoffBounds {
  readonly initialDelayMs: number;
  readonly maxDelayMs: number;
}

/** Schedules the retransmissions of one packet. */
export class RetransmitTimer {
  private retransmissions = 0;
  private dueAtMs = Infinity;

  constructor(private readonly bounds: BackoffBounds) {}

  /** True if a retransmission is due. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.dueAtMs;
  }

  /** True between a first transmission and `stop`. */
  get isRunning(): boolean {
    return this.dueAtMs !== Infinity;
  }

  /** Starts or resets the backoff, after a first transmission or progress of the peer. */
  restart(context: StepContext): void {
    this.retransmissions = 0;
    this.schedule(context);
  }

  /** Schedules the next retransmission with a longer delay. */
  backOff(context: StepContext): void {
    this.retransmissions += 1;
    this.schedule(context);
  }

  /** Stops retransmissions until the next `restart`. */
  stop(): void {
    this.dueAtMs = Infinity;
  }

  private schedule({ nowMs, random }: StepContext): void {
    const { initialDelayMs, maxDelayMs } = this.bounds;
    const delayMs = Math.min(maxDelayMs, initialDelayMs * BACKOFF_FACTOR ** this.retransmissions);
    const jitterFactor = 1 + JITTER_FRACTION * (2 * random.nextFloat() - 1);
    this.dueAtMs = nowMs + delayMs * jitterFactor;
  }
}
