/**
 * @file The load of back ends as shown to operators. Balancers don't report load to control machines, so the daemon shows it as
 * unknown (`unknownLoad`).
 */

/** The load of one back end. */
export interface BackendLoad {
  /** Established flows that balancers forwarded to it. */
  readonly connections: number;
  /** Requests in progress, by the back end's last report; may lag. */
  readonly busySlots?: number | undefined;
  /** How many balancers the figures come from. */
  readonly reportingBalancers: number;
}

/** The load of back ends and of the shared balancers, as far as it is known. */
export interface LoadView {
  /** By back end ID; absent where nothing was reported. */
  readonly backends: ReadonlyMap<number, BackendLoad>;
  /** Established flows over all services of all partners; undefined where not reported. */
  readonly totalConnections: number | undefined;
}

/** The view while balancers report no load. */
export const unknownLoad: LoadView = { backends: new Map(), totalConnections: undefined };
