/**
 * @file `amberlift control`: runs a control machine.
 */
import type { CAC } from 'cac';
import { startControlDaemon } from '../daemon/control-daemon.js';
import {
  announceReady,
  reportError,
  settingsFromFlags,
  stopOnSignal,
  withSettingsFlags,
  type SettingsFlags,
} from './daemon-command.js';

/**
 * Registers the subcommand.
 */
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
  stopOnSignal(() => daemon.value.stop());
  const { linkAddress, operatorAddress } = daemon.value;
  announceReady({ linkAddress, operatorAddress });
}
