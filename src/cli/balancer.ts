/**
 * @file `amberlift balancer`: runs a balancer.
 */
import type { CAC } from 'cac';
import { startBalancerDaemon } from '../daemon/balancer-daemon.js';
import {
  announceReady,
  settingsFromFlags,
  stopOnSignal,
  withSettingsFlags,
  type SettingsFlags,
} from './daemon-command.js';

/**
 * Registers the subcommand.
 */
export function registerBalancer(cli: CAC): void {
  withSettingsFlags(cli, 'balancer', 'Run a balancer').action(run);
}

async function run(flags: SettingsFlags): Promise<void> {
  const settings = settingsFromFlags(flags);
  if (settings === undefined) {
    return;
  }
  const daemon = await startBalancerDaemon(settings);
  stopOnSignal(() => daemon.stop(settings.balancer.stopGraceMs));
  announceReady({ frontAddress: daemon.frontAddress });
}
