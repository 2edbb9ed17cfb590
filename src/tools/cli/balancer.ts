/**
 * @file `amberlift balancer`: runs a balancer whose back ends are configured by operators.
 */
import type { CAC } from 'cac';
import { startBalancerDaemon } from '../../managed/daemon/balancer-daemon.js';
import { balancerMetrics } from '../../managed/daemon/metrics/balancer-metrics.js';
import { startMetricsServer } from '../../managed/daemon/metrics/metrics-server.js';
import {
  announceReady,
  settingsFromFlags,
  stopOnSignal,
  withSettingsFlags,
  type SettingsFlags,
} from './daemon-command.js';

/** Registers the `balancer` subcommand. */
export function registerBalancer(cli: CAC): void {
  withSettingsFlags(cli, 'balancer', 'Run a balancer').action(run);
}

async function run(flags: SettingsFlags): Promise<void> {
  const settings = settingsFromFlags(flags);
  if (settings === undefined) {
    return;
  }
  const daemon = await startBalancerDaemon(settings);
  const metrics = await startMetricsServer(
    settings.metricsAddress,
    balancerMetrics(daemon.state, () => performance.now()),
  );
  stopOnSignal(() => daemon.stop(settings.balancer.stopGraceMs));
  const { frontAddress } = daemon;
  announceReady({ frontAddress, ...(metrics && { metricsAddress: metrics.address }) });
}
