/**
 * @file `amberlift control`: runs a control machine whose back ends are configured by operators.
 */
import type { CAC } from 'cac';
import { startControlDaemon } from '../../managed/daemon/control-daemon.js';
import { controlMetrics } from '../../managed/daemon/metrics/control-metrics.js';
import { startMetricsServer } from '../../managed/daemon/metrics/metrics-server.js';
import {
  announceReady,
  reportError,
  settingsFromFlags,
  stopOnSignal,
  withSettingsFlags,
  type SettingsFlags,
} from './daemon-command.js';

/** Registers the `control` subcommand. */
export function registerControl(cli: CAC): void {
  withSettingsFlags(cli, 'control', 'Run a control machine').action(run);
}

async function run(flags: SettingsFlags): Promise<void> {
  const settings = settingsFromFlags(flags);
  if (settings === undefined) {
    return;
  }
  const daemon = await startControlDaemon(settings);
  if (daemon.isErr()) {
    reportError(daemon.error);
    return;
  }
  const { linkAddress, operatorAddress, state } = daemon.value;
  const metrics = await startMetricsServer(settings.metricsAddress, controlMetrics(state));
  stopOnSignal(() => daemon.value.stop());
  const metricsAddress = metrics?.address;
  announceReady({ linkAddress, operatorAddress, ...(metricsAddress && { metricsAddress }) });
}
