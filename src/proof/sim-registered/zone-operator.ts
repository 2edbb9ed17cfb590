/**
 * @file A stand-in operator who evacuates zones and readmits them: each order is sent again, to any control machine, until it is
 * acknowledged, but not for longer than orders may be resent.
 */
import type { ZoneOrderKind } from '../../registered/group/zone-orders.js';
import type { CallControl } from './stand-in-backend.js';
import type { StandInParts } from './world-parts.js';

/** What the operator needs of the deployment. */
export interface ZoneOperatorOptions extends StandInParts {
  readonly callControl: CallControl;
  /** Share of acknowledgements that are lost on their way. */
  readonly ackLostShare: () => number;
  /** Called just before a zone that is certain to be empty is readmitted: its back ends have turned cold. */
  readonly beforeReadmission: (zone: string) => void;
}

/** Empties zones. */
export interface ZoneOperator {
  /**
   * Evacuates a zone and readmits it.
   * @param forMs time between the acknowledgement of the one and the other
   */
  evacuate(zone: string, forMs: number): void;
  /**
   * Sends one order until it is acknowledged or too old.
   * @param ended called with whether it was acknowledged
   */
  order(zone: string, kind: ZoneOrderKind, ended: (isAcknowledged: boolean) => void): void;
}

const OPERATOR_HOST = '100.127.0.2';
const CALL_TIMEOUT_MS = 1_000;
const RETRY_PAUSE_MS = 100;
/** An order is not sent again later than this after it was sent first. */
const RESENT_WITHIN_MS = 5_000;

/** @returns an operator who has ordered nothing yet */
export function createZoneOperator(options: ZoneOperatorOptions): ZoneOperator {
  const { clock, random, oracle, callControl } = options;

  return { evacuate, order };

  function evacuate(zone: string, forMs: number): void {
    order(zone, 'evacuate', () => {
      clock.after(forMs, () => {
        if (oracle.zones.evacuatedAtMs(zone) !== undefined) {
          options.beforeReadmission(zone);
        }
        readmit(zone);
      });
    });
  }

  /** A zone is not left empty: an operator without an answer asks again, as a new order. */
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
    ended: (isAcknowledged: boolean) => void,
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
      ended(isAcknowledged);
    }

    function attempt(number: number): void {
      if (isDone || number !== attempts) {
        return;
      }
      if (clock.nowMs - firstSentAtMs > RESENT_WITHIN_MS) {
        end(false);
        return;
      }
      attempts += 1;
      const again = attempts;
      callControl(OPERATOR_HOST, { type: 'order-zone', zone, kind }, (reply) => {
        if (reply.type === 'unknown-zone') {
          oracle.recordRefusedOrder(zone, clock.nowMs);
        } else if (reply.type === 'unavailable') {
          clock.after(RETRY_PAUSE_MS, () => attempt(again));
        } else if (!isDone && random.nextFloat() >= options.ackLostShare()) {
          end(true);
        }
      });
      clock.after(CALL_TIMEOUT_MS + RETRY_PAUSE_MS, () => attempt(again));
    }
  }
}
