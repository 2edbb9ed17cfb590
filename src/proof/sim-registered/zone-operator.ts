/**
 * @file An operator stand-in that evacuates and readmits zones: each order is resent to any control machine until it is
 * acknowledged or the resend window ends.
 */
import type { ZoneOrderKind } from '../../registered/group/zone-orders.js';
import type { CallControl } from './stand-in-backend.js';
import type { StandInParts } from './world-parts.js';

/** Dependencies of the operator. */
export interface ZoneOperatorOptions extends StandInParts {
  readonly callControl: CallControl;
  /** @returns the share of acknowledgements that are lost, 0 to 1 */
  readonly ackLossShare: () => number;
  /** Called before the readmission of a zone whose evacuation was acknowledged. */
  readonly beforeReadmission: (zone: string) => void;
}

/** Sends zone orders. */
export interface ZoneOperator {
  /**
   * Evacuates a zone and readmits it later.
   * @param durationMs time between the end of the evacuation order and the first readmission order, in milliseconds
   */
  evacuate(zone: string, durationMs: number): void;
  /**
   * Sends an order until it is acknowledged or its resend window has ended.
   * @param onEnd called with whether it was acknowledged
   */
  order(zone: string, kind: ZoneOrderKind, onEnd: (isAcknowledged: boolean) => void): void;
}

const OPERATOR_HOST = '100.127.0.2';
const CALL_TIMEOUT_MS = 1_000;
const RETRY_PAUSE_MS = 100;
/** Maximum time from the first attempt of an order to its last. */
const RESEND_WINDOW_MS = 5_000;

/** @returns an operator that has sent no orders */
export function createZoneOperator(options: ZoneOperatorOptions): ZoneOperator {
  const { clock, random, oracle, callControl } = options;

  return { evacuate, order };

  function evacuate(zone: string, durationMs: number): void {
    order(zone, 'evacuate', () => {
      clock.after(durationMs, () => {
        if (oracle.zones.evacuatedAtMs(zone) !== undefined) {
          options.beforeReadmission(zone);
        }
        readmit(zone);
      });
    });
  }

  /** Repeats readmission as a new order until one is acknowledged, so that no zone stays evacuated. */
  function readmit(zone: string): void {
    order(zone, 'readmit', (isAcknowledged) => {
      if (!isAcknowledged) {
        readmit(zone);
      }
    });
  }

  function order(
    zone: string,
    kind: ZoneOrderKind,
    onEnd: (isAcknowledged: boolean) => void,
  ): void {
    const firstSentAtMs = clock.nowMs;
    let isDone = false;
    let attempts = 0;
    oracle.zones.recordOrder(zone);
    attempt(0);

    function end(isAcknowledged: boolean): void {
      isDone = true;
      const state = kind === 'evacuate' ? 'evacuated' : 'readmitted';
      oracle.zones.recordOutcome(zone, isAcknowledged ? state : undefined, clock.nowMs);
      onEnd(isAcknowledged);
    }

    function attempt(number: number): void {
      if (isDone || number !== attempts) {
        return;
      }
      if (clock.nowMs - firstSentAtMs > RESEND_WINDOW_MS) {
        end(false);
        return;
      }
      attempts += 1;
      const nextNumber = attempts;
      callControl(OPERATOR_HOST, { type: 'order-zone', zone, kind }, (reply) => {
        if (reply.type === 'unknown-zone') {
          oracle.recordRefusedOrder(zone, clock.nowMs);
        } else if (reply.type === 'unavailable') {
          clock.after(RETRY_PAUSE_MS, () => attempt(nextNumber));
        } else if (!isDone && random.nextFloat() >= options.ackLossShare()) {
          end(true);
        }
      });
      clock.after(CALL_TIMEOUT_MS + RETRY_PAUSE_MS, () => attempt(nextNumber));
    }
  }
}
