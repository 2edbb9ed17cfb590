/**
 * @file When a packet that no one has answered is sent again: exponential backoff with jitter, so
 * that a slow peer is not met by a storm of copies.
 */
import type { StepContext } from '../../shared/common/step.js';

const GROWTH_FACTOR = 2;
/** Each delay is spread by this share to both sides, so that many senders don't fall into step. */
const JITTER_SHARE = 0.2;

/** The bounds of a backoff, in milliseconds. */
export interface BackoffBounds {
  readonly initialDelayMs: number;
  readonly maxDelayMs: number;
}

/** Times the copies of one packet. */
export class RetransmitTimer {
  private retransmissions = 0;
  private dueAtMs = Infinity;

  constructor(private readonly bounds: BackoffBounds) {}

  /** True where a copy should be sent now. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.dueAtMs;
  }

  /** True between a first transmission and `stop`. */
  get isRunning(): boolean {
    return this.dueAtMs !== Infinity;
  }

  /** The packet has been sent for the first time, or the peer has made progress. */
  restart(context: StepContext): void {
    this.retransmissions = 0;
    this.schedule(context);
  }

  /** A copy has been sent: the next one waits longer. */
  backOff(context: StepContext): void {
    this.retransmissions += 1;
    this.schedule(context);
  }

  /** The peer has answered. */
  stop(): void {
    this.dueAtMs = Infinity;
  }

  private schedule({ nowMs, random }: StepContext): void {
    const { initialDelayMs, maxDelayMs } = this.bounds;
    const delayMs = Math.min(maxDelayMs, initialDelayMs * GROWTH_FACTOR ** this.retransmissions);
    const spread = 1 + JITTER_SHARE * (2 * random.nextFloat() - 1);
    this.dueAtMs = nowMs + delayMs * spread;
  }
}
