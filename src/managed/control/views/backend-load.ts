/**
 * @file What back ends carry, as far as balancers have reported it to control machines.
 */

/** What one back end carries. */
export interface BackendLoad {
  /** Established flows that balancers forwarded to it. */
  readonly connections: number;
  /** Requests in progress, as the back end last told; may lag. */
  readonly busySlots?: number | undefined;
  /** How many balancers the figures come from. */
  readonly reportingBalancers: number;
}

/** What is known of the load of back ends and of the shared balancers. */
export interface LoadView {
  /** By back end ID; absent where nothing was reported. */
  readonly backends: ReadonlyMap<number, BackendLoad>;
  /** Established flows over all services of all partners; undefined where not reported. */
  readonly totalConnections: number | undefined;
}

/** The view while balancers report no load. */
export const unknownLoad: LoadView = { backends: new Map(), totalConnections: undefined };
