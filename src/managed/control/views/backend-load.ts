/**
 * @file Load of back ends, as shown to operators. Balancers do not report load to control machines yet, so the daemon
 * uses `unknownLoad`.
 */

/** Load of one back end, summed over the reporting balancers. */
export interface BackendLoad {
  /** Established flows to the back end. */
  readonly connections: number;
  /** Requests in progress according to the back end's last report. */
  readonly busySlots?: number | undefined;
  readonly reportingBalancers: number;
}

/** Reported load of back ends and balancers. */
export interface LoadView {
  /** Keyed by back end ID; absent if not reported. */
  readonly backends: ReadonlyMap<number, BackendLoad>;
  /** Established flows of all services of all operators; undefined if not reported. */
  readonly totalConnections: number | undefined;
}

/** No reported load. */
export const unknownLoad: LoadView = { backends: new Map(), totalConnections: undefined };
