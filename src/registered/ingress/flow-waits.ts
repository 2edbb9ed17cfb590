/**
 * @file Flows through this balancer that wait for one back end, with the time since when. Written by the flow activities,
 * read by the reports of suspicions.
 */

/** Waiting flows of one back end. */
export interface FlowWaits {
  /** Records that a flow waits since `sinceMs`, or still does. Calls in quick succession count as one repeat. */
  record(flow: object, sinceMs: number, nowMs: number): void;
  /** The flow no longer waits. */
  remove(flow: object): void;
  /** @returns the waits that match a condition on their beginning, summed up */
  summarize(counts: (sinceMs: number) => boolean): WaitSummary;
}

/** The waits of several flows. */
export interface WaitSummary {
  readonly flows: number;
  readonly repeats: number;
  /** When the oldest wait began, in milliseconds; infinity if there is none. */
  readonly sinceMs: number;
}

interface Wait {
  readonly sinceMs: number;
  readonly repeats: number;
  readonly repeatedAtMs: number;
}

/** Shorter than the first retransmission timeout of clients (about 200 ms); excludes duplicated datagrams. */
const MIN_REPEAT_DELAY_MS = 150;

/** @returns waits of no flows */
export function createFlowWaits(): FlowWaits {
  const waits = new Map<object, Wait>();

  return {
    record: (flow, sinceMs, nowMs) => {
      const known = waits.get(flow);
      if (known === undefined) {
        waits.set(flow, { sinceMs, repeats: 1, repeatedAtMs: nowMs });
      } else if (nowMs - known.repeatedAtMs >= MIN_REPEAT_DELAY_MS) {
        const repeats = known.repeats + 1;
        waits.set(flow, { sinceMs: known.sinceMs, repeats, repeatedAtMs: nowMs });
      }
    },
    remove: (flow) => {
      waits.delete(flow);
    },
    summarize: (counts) => {
      let [flows, repeats, oldestMs] = [0, 0, Infinity];
      for (const wait of waits.values()) {
        if (counts(wait.sinceMs)) {
          flows += 1;
          repeats += wait.repeats;
          oldestMs = Math.min(oldestMs, wait.sinceMs);
        }
      }
      return { flows, repeats, sinceMs: oldestMs };
    },
  };
}
