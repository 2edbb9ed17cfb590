/**
 * @file Constants shared by the simulator and the soak, so that both run the same deployment. Changing one changes every
 * seeded run.
 */

/** Control machines in the seed list of each process; the others are discovered. */
export const SEED_COUNT = 3;
/** Requests per flow of every second client; long enough for flows to span faults. Other clients send one. */
export const LONG_FLOW_REQUESTS = 40;
/** Interval of the readiness probes of the routers. */
export const PROBE_INTERVAL_MS = 500;
/** Consecutive failed probes after which routers take a balancer out of rotation. */
export const MAX_MISSED_PROBES = 2;
/** Share of datagrams lost during the fault `datagrams-lost`, 0 to 1. */
export const LOSS_SHARE = 0.03;
/** Share of acknowledgements lost during the fault `acknowledgements-lost`, 0 to 1; most calls are resent. */
export const ACK_LOSS_SHARE = 0.6;
/** Duration of counting served requests, before and after the faults. */
export const MEASUREMENT_MS = 5_000;
/** Time for the deployment to recover after the last fault. */
export const SETTLE_MS = 12_000;
/** Minimum ratio of requests served after the faults to those served before, for recovery. */
export const MIN_SERVED_SHARE = 0.25;
