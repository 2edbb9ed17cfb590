/**
 * @file A simulated health probe over HTTP: it assigns the ID of a back end, requests a drain if
 * the operators want one, and returns health and load.
 */
import { formatAddress } from '../../shared/common/address.js';
import type { ProbeResult } from '../../managed/health/backend-report.js';
import type { ProbeEffect } from '../../managed/health/probe-schedule.js';
import type { SimulatedBackend } from './simulated-backend.js';
import type { Simulation } from './simulation.js';

const PROBE_TIMEOUT_MS = 1_000;
const ONE_WAY_TRIPS = 2;

/** Finds back end processes by address. */
export interface BackendDirectory {
  /** Keyed by the text form of the health address. */
  readonly byHealthAddress: Map<string, SimulatedBackend>;
}

/**
 * Probes a back end.
 * @param host host of the probing balancer
 * @param done called once with the result, at the latest after the timeout
 */
export function probeSimulatedBackend(
  simulation: Simulation,
  directory: BackendDirectory,
  host: string,
  probe: ProbeEffect,
  done: (result: ProbeResult) => void,
): void {
  const { backend } = probe;
  const { clock, network } = simulation;
  const target = directory.byHealthAddress.get(formatAddress(backend.healthAddress));
  const failed: ProbeResult = { backendId: backend.id, health: undefined, load: undefined };
  const delayMs = network.delayBetween(host, backend.healthAddress.host);
  if (target === undefined || target.status === 'down') {
    clock.after(delayMs * ONE_WAY_TRIPS, () => done(failed));
    return;
  }
  const probeState: { isDone: boolean } = { isDone: false };
  const finish = (result: ProbeResult): void => {
    if (!probeState.isDone) {
      probeState.isDone = true;
      done(result);
    }
  };
  clock.after(PROBE_TIMEOUT_MS, () => finish(failed));
  clock.after(delayMs, () => {
    if (network.isCut(host, target.host)) {
      return;
    }
    target.perform(() => {
      const result = target.answerProbe(probe);
      clock.after(delayMs, () => {
        if (!network.isCut(target.host, host)) {
          finish(result);
        }
      });
    });
  });
}
