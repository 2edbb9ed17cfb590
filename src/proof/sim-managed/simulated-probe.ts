/**
 * @file A virtual health probe over HTTP: gives a back end its ID, and the order to drain where the
 * operators want that, and brings its health and load.
 */
import { formatAddress } from '../../shared/common/address.js';
import type { ProbeResult } from '../../managed/health/backend-report.js';
import type { ProbeEffect } from '../../managed/health/probe-schedule.js';
import type { SimulatedBackend } from './simulated-backend.js';
import type { Simulation } from './simulation.js';

const PROBE_TIMEOUT_MS = 1_000;
const ROUND_TRIPS = 2;

/** Finds back end processes by address. */
export interface BackendDirectory {
  /** By the text form of the health address. */
  readonly byHealthAddress: Map<string, SimulatedBackend>;
}

/**
 * Probes a back end.
 * @param host of the balancer that probes
 * @param done called with the result, at the latest after the timeout
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
    clock.after(delayMs * ROUND_TRIPS, () => done(failed));
    return;
  }
  const answer: { isDone: boolean } = { isDone: false };
  const end = (result: ProbeResult): void => {
    if (!answer.isDone) {
      answer.isDone = true;
      done(result);
    }
  };
  clock.after(PROBE_TIMEOUT_MS, () => end(failed));
  clock.after(delayMs, () => {
    if (network.isCut(host, target.host)) {
      return;
    }
    target.perform(() => {
      const result = target.answerProbe(probe);
      clock.after(delayMs, () => {
        if (!network.isCut(target.host, host)) {
          end(result);
        }
      });
    });
  });
}
