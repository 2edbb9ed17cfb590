/**
 * @file `amberlift fabric`: runs a simulated network fabric that spreads packets of callers over the balancers.
 */
import type { CAC } from 'cac';
import { startFabric } from '../../proof/standins/fabric-process.js';
import { addressFlag } from './address-flag.js';
import { announceReady, stopOnSignal } from './daemon-command.js';

interface FabricFlags {
  readonly service: string | string[];
  readonly zone: string;
  readonly crossZoneDelay: number;
  readonly callerDelay: number;
}

/** Registers the `fabric` subcommand. */
export function registerFabric(cli: CAC): void {
  cli
    .command('fabric', 'Run the stand-in fabric')
    .option('--service <address>', 'Address of a service; may be repeated; port 0 for a free one')
    .option('--zone <zone>', 'Zone where callers enter', { default: 'zone-a' })
    .option('--cross-zone-delay <ms>', 'Delay between zones, one way', { default: 0.5 })
    .option('--caller-delay <ms>', 'Delay to callers, one way', { default: 1 })
    .action(run);
}

async function run(flags: FabricFlags): Promise<void> {
  const options = {
    zone: flags.zone,
    crossZoneDelayMs: flags.crossZoneDelay,
    callerDelayMs: flags.callerDelay,
  };
  const addresses = [flags.service].flat().map((text) => addressFlag('service', text));
  const fabric = await startFabric(options, addresses);
  stopOnSignal(() => fabric.stop());
  const { serviceAddresses, returnAddress, platformAddress } = fabric;
  announceReady({ serviceAddresses, returnAddress, platformAddress });
}
