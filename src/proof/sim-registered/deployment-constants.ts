/**
 * @file Figures of the deployment that the simulator and the soak both play, so that a seed's schedule meets the same deployment on
 * virtual time and beside real processes. Chosen for short runs, not measured; changing one changes the runs of kept seeds.
 */

/** Control machines whose addresses each process is started with; the others are learned. */
export const SEED_COUNT = 3;
/** Requests of every second client on one flow, so that flows live through faults; the others make one. */
export const LONG_FLOW_REQUESTS = 40;
/** Time between two readiness probes of the routers, in milliseconds. */
export const PROBE_INTERVAL_MS = 500;
/** Probes missed in a row after which a router sends a balancer no packets. */
export const MISSES_UNTIL_OUT = 2;
/** Share of datagrams that the fault `datagrams-lost` loses, 0 to 1. */
export const LOSS_SHARE = 0.03;
/** Share of acknowledgements that the fault `acknowledgements-lost` loses, 0 to 1: most calls are sent again. */
export const ACK_LOSS_SHARE = 0.6;
/** Time before and after the faults over which served requests are counted, in milliseconds. */
export const MEASURED_MS = 5_000;
/** Time after the last fault in which the deployment recovers, in milliseconds. */
export const SETTLE_MS = 12_000;
/** Requests served after the faults over those before, below which the deployment counts as not recovered. */
export const LEAST_SERVED_SHARE = 0.25;
